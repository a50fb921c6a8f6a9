/**
 * Text that stands for a model's answer: each token is a pure function of all text before it. So token i of an answer
 * is a function of (prompt, i), a continuation after delivered text gives the same next tokens, and a continuation
 * after any other text shows.
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
const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;

/** State of the text so far (FNV-1a with 32 bits over UTF-16 units). */
export function foldText(text: string, state = offsetBasis): number {
    let folded = state;
    for (let index = 0; index < text.length; index += 1) {
        folded = Math.imul(folded ^ text.charCodeAt(index), prime) >>> 0;
    }
    return folded;
}

/** The token that follows text of the given state; it ends at white space. */
export function nextToken(state: number): string {
    const mixed = Math.imul(state ^ (state >>> 15), 0x2c1b3c6d) >>> 0;
    const parts = [mixed & 15, (mixed >>> 4) & 15, (mixed >>> 8) & 15].map(part => syllables[part] ?? "");
    return `${parts.slice(0, 2 + ((mixed >>> 12) & 1)).join("")} `;
}

/** The first `count` tokens of the whole answer to a prompt. */
export function answerTokens(prompt: string, count: number): readonly string[] {
    const tokens: string[] = [];
    let state = foldText(prompt);
    for (let offset = 0; offset < count; offset += 1) {
        const token = nextToken(state);
        tokens.push(token);
        state = foldText(token, state);
    }
    return tokens;
}
