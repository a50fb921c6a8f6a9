/**
 * Collects the pieces of a message until it is complete. Small pieces are copied into shared blocks, so that memory and work
 * are bounded by the bytes and not by the number of pieces, whose size the sender chooses.
 */

/** Pieces from this size on are kept as they are, in bytes. */
const minimumKeptPieceBytes = 4 * 1024;
const firstBlockBytes = 256;
const maximumBlockBytes = 16 * 1024;
/** What the handling of a piece costs besides its bytes, expressed in bytes. */
export const pieceOverheadBytes = 64;

export class ByteCollector {
    private parts: Buffer[] = [];
    /** Block into which small pieces are copied; its first `usedBytes` are in use. */
    private block = Buffer.alloc(0);
    private usedBytes = 0;
    private bytes = 0;
    private pieces = 0;

    private constructor() {}

    public static create(): ByteCollector {
        return new ByteCollector();
    }

    /** Number of bytes collected. */
    public get length(): number {
        return this.bytes;
    }

    /** Size by which a limit is to be checked, in bytes: each piece counts with its overhead. */
    public get chargedBytes(): number {
        return this.bytes + this.pieces * pieceOverheadBytes;
    }

    public add(piece: Buffer): void {
        this.bytes += piece.length;
        this.pieces += 1;
        const fits = piece.length <= this.block.length - this.usedBytes;
        if (piece.length >= minimumKeptPieceBytes && !fits) {
            this.closeBlock();
            this.parts.push(piece);
            return;
        }
        if (!fits) {
            this.closeBlock();
            const doubledBytes = Math.min(maximumBlockBytes, Math.max(firstBlockBytes, 2 * this.bytes));
            this.block = Buffer.allocUnsafeSlow(Math.max(doubledBytes, piece.length));
        }
        piece.copy(this.block, this.usedBytes);
        this.usedBytes += piece.length;
    }

    /** Returns all bytes in order, and starts again without any. */
    public take(): Buffer {
        this.closeBlock();
        const { parts } = this;
        this.clear();
        return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
    }

    /** Sets the total that is expected; from then on all pieces are copied into one block, and none is kept. */
    public expect(totalBytes: number): void {
        if (totalBytes > this.bytes) {
            const whole = Buffer.allocUnsafeSlow(totalBytes);
            const { bytes, pieces } = this;
            this.closeBlock();
            this.parts.reduce((offset, part) => offset + part.copy(whole, offset), 0);
            this.parts = [];
            this.block = whole;
            this.usedBytes = bytes;
            this.bytes = bytes;
            this.pieces = pieces;
        }
    }

    /** Drops all bytes. */
    public clear(): void {
        this.parts = [];
        this.block = Buffer.alloc(0);
        this.usedBytes = 0;
        this.bytes = 0;
        this.pieces = 0;
    }

    private closeBlock(): void {
        if (this.usedBytes > 0) {
            this.parts.push(this.block.subarray(0, this.usedBytes));
            this.block = this.block.subarray(this.usedBytes);
            this.usedBytes = 0;
        }
    }
}
