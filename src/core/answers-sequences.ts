/** Puts the tokens of one answer in order: each offset once, with a bounded buffer for tokens after a gap. */
import type { AnswerRules } from "./answers-options.js";

/** Why an answer ended, and the offset after its last token. */
export interface AnswerEnd {
    readonly reason: "stop" | "length";
    readonly nextOffset: number;
}

/** One token with its offset. */
export interface PlacedToken {
    readonly offset: number;
    readonly text: string;
}

/** Result of one event: tokens to deliver in order, and a problem if the stream can no longer be trusted. */
export interface SequenceStep {
    readonly tokens: readonly PlacedToken[];
    readonly problem?: string;
}

const nothing: SequenceStep = { tokens: [] };

/** Token order of one answer. `nextOffset` persists across attempts; the buffer and the end belong to one attempt. */
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

    /** Returns the end once every token before it was delivered. */
    public completedEnd(): AnswerEnd | undefined {
        const isComplete = this.end !== undefined && this.rules.isComplete(this.next, this.end.nextOffset);
        return isComplete ? this.end : undefined;
    }

    /** Handles a token of the current attempt. */
    public takeToken(offset: number, text: string): SequenceStep {
        if (this.rules.isDelivered(offset, this.next)) {
            return nothing;
        }
        if (this.end !== undefined && offset >= this.end.nextOffset) {
            return { tokens: [], problem: "the engine sent a token after the end of its stream" };
        }
        if (!this.rules.isNext(offset, this.next)) {
            return this.keep(offset, text);
        }
        return { tokens: this.advance({ offset, text }) };
    }

    /** Handles the end of the current attempt. */
    public takeEnd(end: AnswerEnd): SequenceStep {
        const hasLater = [...this.gap.keys()].some(offset => offset >= end.nextOffset);
        if (end.nextOffset < this.next || hasLater) {
            return {
                tokens: [],
                problem: "the engine announced an end of its stream that lies before a token it had sent",
            };
        }
        this.end = end;
        return nothing;
    }

    /** Discards the buffered tokens and the end of an attempt, since they do not apply to the next attempt. */
    public forgetAttempt(): void {
        this.gap.clear();
        this.end = undefined;
    }

    private keep(offset: number, text: string): SequenceStep {
        if (this.gap.size >= this.maximumBufferedTokens) {
            return { tokens: [], problem: "the engine sent too many tokens after a missing one" };
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
