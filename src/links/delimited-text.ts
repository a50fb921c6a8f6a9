/** Splits text that arrives in pieces at a delimiter; work and memory do not depend on the sizes of the pieces. */
import { pieceOverheadBytes } from "./byte-collector.js";

export class DelimitedText {
    /** Pieces of the text after the last delimiter. */
    private pieces: string[] = [];
    private length = 0;
    /** Last characters of `pieces`, which may contain the beginning of a delimiter. */
    private tail = "";

    private constructor(private readonly delimiter: string) {}

    public static create(delimiter: string): DelimitedText {
        return new DelimitedText(delimiter);
    }

    /** Length of the text after the last delimiter, in characters; each of its pieces counts with its overhead. */
    public get chargedLength(): number {
        return this.length + this.pieces.length * pieceOverheadBytes;
    }

    /** Returns the texts that `piece` completes, without their delimiters. */
    public push(piece: string): readonly string[] {
        const seam = this.tail + piece;
        if (!seam.includes(this.delimiter)) {
            this.pieces.push(piece);
            this.length += piece.length;
            this.tail = this.endOf(seam);
            return [];
        }
        const texts = (this.pieces.join("") + piece).split(this.delimiter);
        const rest = texts.pop()!;
        this.pieces = rest === "" ? [] : [rest];
        this.length = rest.length;
        this.tail = this.endOf(rest);
        return texts;
    }

    private endOf(text: string): string {
        return text.slice(Math.max(0, text.length - (this.delimiter.length - 1)));
    }
}
