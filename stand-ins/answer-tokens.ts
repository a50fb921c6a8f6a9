/**
 * Generates deterministic text in place of a model's answer: each token is a pure function of all preceding text.
 * Token i of an answer is therefore a function of (prompt, i), a continuation after delivered text yields the same next
 * tokens, and a continuation after any other text is detected.
 */
const syllables = [
    "ka",
    "lo",
    "mi",
    "ne",
    "ru",
    "sa",
    "ti",
    "vo",
    "ze",
    "bu",
    "da",
    "fi",
    "go",
    "ha",
    "pe",
    "yu",
];
const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Hashes the text, continuing from `state` (32-bit FNV-1a over UTF-16 code units). */
export function hashText(text: string, state = fnvOffsetBasis): number {
    let folded = state;
    for (let index = 0; index < text.length; index += 1) {
        folded = Math.imul(folded ^ text.charCodeAt(index), fnvPrime) >>> 0;
    }
    return folded;
}

/** Returns the token that follows text with the given hash; each token ends with a blank. */
export function nextToken(state: number): string {
    const mixed = Math.imul(state ^ (state >>> 15), 0x2c1b3c6d) >>> 0;
    const parts = [mixed & 15, (mixed >>> 4) & 15, (mixed >>> 8) & 15].map(part => syllables[part] ?? "");
    return `${parts.slice(0, 2 + ((mixed >>> 12) & 1)).join("")} `;
}

/** Returns the first `count` tokens of the answer to a prompt. */
export function answerTokens(prompt: string, count: number): readonly string[] {
    const tokens: string[] = [];
    let state = hashText(prompt);
    for (let offset = 0; offset < count; offset += 1) {
        const token = nextToken(state);
        tokens.push(token);
        state = hashText(token, state);
    }
    return tokens;
}
