/**
 * Blocks of a prompt, as engines cache them: 64 tokens each, named by the XXH64 of the prompt from its start to the
 * block's end (docs/PROTOCOLS.md).
 */
import { createTextHash } from "./hashes.js";

/** Tokens of one block; a token is a run of characters that ends at white space. */
export const blockTokens = 64;
/** Blocks that routing looks at; what comes after them is treated as not cached. */
export const blocksConsidered = 32;

/** Returns the names of the prompt's first whole blocks. */
export function blocksOf(prompt: string, most: number = blocksConsidered): readonly string[] {
    const hash = createTextHash();
    const blocks: string[] = [];
    let start = 0;
    for (const end of blockEnds(prompt, most)) {
        hash.update(prompt.slice(start, end));
        blocks.push(hash.digest());
        start = end;
    }
    return blocks;
}

/** Returns the index after the last character of each whole block. */
function blockEnds(prompt: string, most: number): readonly number[] {
    const ends: number[] = [];
    let tokens = 0;
    let isInToken = false;
    for (let index = 0; index < prompt.length && ends.length < most; index += 1) {
        const isSpace = isWhiteSpace(prompt.charCodeAt(index));
        if (!isSpace) {
            isInToken = true;
        } else if (isInToken) {
            isInToken = false;
            tokens += 1;
            if (tokens % blockTokens === 0) {
                ends.push(index + 1);
            }
        }
    }
    return ends;
}

function isWhiteSpace(code: number): boolean {
    return code === 0x20 || (code >= 0x09 && code <= 0x0d);
}
