/**
 * Blocks of a prompt, as engines cache them: 64 tokens each, named by the XXH64 of the prompt from its start to the
 * block's end (docs/PROTOCOLS.md).
 */
import { createTextHash } from "./hashes.js";

/** Tokens of one block; a token is a run of characters that ends at white space. */
export const blockTokens = 64;
/** Number of leading blocks that routing considers; later blocks count as not cached. */
export const maximumRoutedBlocks = 32;

/** Maximum bytes of a prompt that are hashed when at most `maximumRoutedBlocks` blocks are requested. */
const maximumRoutedBytes = 32_768;
const encoder = new TextEncoder();
const buffer = new Uint8Array(maximumRoutedBytes);

/** Returns the hashes of the prompt's leading complete blocks, at most `maximumBlocks`. */
export function blocksOf(prompt: string, maximumBlocks: number = maximumRoutedBlocks): readonly string[] {
    const bytes = maximumBlocks > maximumRoutedBlocks ? encoder.encode(prompt) : encodeBeginning(prompt);
    const hash = createTextHash();
    const blocks: string[] = [];
    let start = 0;
    for (const end of blockEnds(bytes, maximumBlocks)) {
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

/** Returns the index after the last byte of each complete block. */
function blockEnds(bytes: Uint8Array, maximumBlocks: number): readonly number[] {
    const ends: number[] = [];
    let tokens = 0;
    let isInToken = 0;
    for (let index = 0; index < bytes.length && ends.length < maximumBlocks; index += 1) {
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

/** Caches the blocks of the last prompt: choosing a group and then dispatching to it both need them. */
export class PromptBlockCache {
    private prompt = "";
    private blocks: readonly string[] = [];

    private constructor() {}

    public static create(): PromptBlockCache {
        return new PromptBlockCache();
    }

    public blocksOf(prompt: string): readonly string[] {
        if (this.prompt !== prompt) {
            this.prompt = prompt;
            this.blocks = blocksOf(prompt);
        }
        return this.blocks;
    }
}
