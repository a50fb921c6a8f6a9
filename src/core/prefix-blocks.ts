/**
 * Blocks of a prompt, as engines cache them: 64 tokens each, named by the XXH64 of the prompt from its start to the
 * block's end (docs/PROTOCOLS.md).
 */
import { createTextHash } from "./hashes.js";

/** Tokens of one block; a token is a run of characters that ends at white space. */
export const blockTokens = 64;
/** Blocks that routing looks at; what comes after them is treated as not cached. */
export const blocksConsidered = 32;

/** Bytes of a prompt that are looked at if only `blocksConsidered` or fewer are wanted. */
const bytesConsidered = 32_768;
const encoder = new TextEncoder();
const buffer = new Uint8Array(bytesConsidered);

/** Returns the names of the prompt's first whole blocks. */
export function blocksOf(prompt: string, most: number = blocksConsidered): readonly string[] {
    const bytes = most > blocksConsidered ? encoder.encode(prompt) : encodeBeginning(prompt);
    const hash = createTextHash();
    const blocks: string[] = [];
    let start = 0;
    for (const end of blockEnds(bytes, most)) {
        hash.update(bytes.subarray(start, end));
        blocks.push(hash.digest());
        start = end;
    }
    return blocks;
}

function encodeBeginning(prompt: string): Uint8Array {
    const { written } = encoder.encodeInto(prompt, buffer);
    return buffer.subarray(0, written);
}

/** Returns the index after the last byte of each whole block. */
function blockEnds(bytes: Uint8Array, most: number): readonly number[] {
    const ends: number[] = [];
    let tokens = 0;
    let isInToken = 0;
    for (let index = 0; index < bytes.length && ends.length < most; index += 1) {
        const byte = bytes[index]!;
        const isSpace = byte === 0x20 || (byte >= 0x09 && byte <= 0x0d) ? 1 : 0;
        tokens += isSpace & isInToken;
        if (tokens === blockTokens) {
            ends.push(index + 1);
            tokens = 0;
        }
        isInToken = 1 - isSpace;
    }
    return ends;
}

/** Blocks of the prompt looked at last: a choice and its dispatch follow each other. */
export class PromptBlocks {
    private prompt = "";
    private blocks: readonly string[] = [];

    private constructor() {}

    public static create(): PromptBlocks {
        return new PromptBlocks();
    }

    public blocksOf(prompt: string): readonly string[] {
        if (this.prompt !== prompt) {
            this.prompt = prompt;
            this.blocks = blocksOf(prompt);
        }
        return this.blocks;
    }
}
