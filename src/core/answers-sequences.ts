/** The order of one answer's tokens: each offset once, in order, with a bounded buffer behind a gap. */
import type { AnswerRules } from "./answers-options.js";

/** How an answer ended, and the offset after its last token. */
export interface AnswerEnd {
    readonly reason: "stop" | "length";
    readonly nextOffset: number;
}

/** One token at its place. */
export interface PlacedToken {
    readonly offset: number;
    readonly text: string;
}

/** What one event allows: tokens to deliver in order, or why the stream cannot be trusted any more. */
export interface SequenceStep {
    readonly tokens: readonly PlacedToken[];
    readonly problem?: string;
}

const nothing: SequenceStep = { tokens: [] };

/** Offsets of one answer; `nextOffset` outlives attempts, the buffer and the end do not. */
export class TokenSequence {
    private readonly gap = new Map<number, string>();
    private end: AnswerEnd | undefined;

    private constructor(
        private readonly rules: AnswerRules,
        private readonly maximumBufferedTokens: number,
        private next: number,
    ) {}

    public static create(
        rules: AnswerRules,
        maximumBufferedTokens: number,
        fromOffset: number,
    ): TokenSequence {
        return new TokenSequence(rules, maximumBufferedTokens, fromOffset);
    }

    /** Offset of the next token to deliver. */
    public nextOffset(): number {
        return this.next;
    }

    /** The end, once every token before it was delivered. */
    public completedEnd(): AnswerEnd | undefined {
        const isComplete = this.end !== undefined && this.rules.isComplete(this.next, this.end.nextOffset);
        return isComplete ? this.end : undefined;
    }

    /** Takes a token of the current attempt. */
    public takeToken(offset: number, text: string): SequenceStep {
        if (this.rules.isDelivered(offset, this.next)) {
            return nothing;
        }
        if (this.end !== undefined && offset >= this.end.nextOffset) {
            return { tokens: [], problem: "the engine sent a token after its end" };
        }
        if (!this.rules.isNext(offset, this.next)) {
            return this.keep(offset, text);
        }
        return { tokens: this.advance({ offset, text }) };
    }

    /** Takes the end of the current attempt. */
    public takeEnd(end: AnswerEnd): SequenceStep {
        const hasLater = [...this.gap.keys()].some(offset => offset >= end.nextOffset);
        if (end.nextOffset < this.next || hasLater) {
            return { tokens: [], problem: "the engine ended its stream before its last token" };
        }
        this.end = end;
        return nothing;
    }

    /** Forgets what one attempt sent ahead of a gap, and its end: they say nothing of the next attempt. */
    public forgetAttempt(): void {
        this.gap.clear();
        this.end = undefined;
    }

    private keep(offset: number, text: string): SequenceStep {
        if (this.gap.size >= this.maximumBufferedTokens) {
            return { tokens: [], problem: "too many tokens came after a gap" };
        }
        this.gap.set(offset, text);
        return nothing;
    }

    private advance(first: PlacedToken): readonly PlacedToken[] {
        const tokens = [first];
        this.next = first.offset + 1;
        for (let text = this.gap.get(this.next); text !== undefined; text = this.gap.get(this.next)) {
            this.gap.delete(this.next);
            tokens.push({ offset: this.next, text });
            this.next += 1;
        }
        return tokens;
    }
}
