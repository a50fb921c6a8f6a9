/** Puts the tokens of one answer in order: each offset once, with a bounded buffer for tokens after a gap. */
import type { AnswerRules } from "./answer-options.js";

/** Why an answer ended, and the offset after its last token. */
export interface AnswerEnd {
    readonly reason: "stop" | "length";
    readonly nextOffset: number;
}

/** One token with its offset. */
export interface OrderedToken {
    readonly offset: number;
    readonly text: string;
}

/** Result of one event: tokens to deliver in order, and a problem if the stream can no longer be trusted. */
export interface SequenceStep {
    readonly tokens: readonly OrderedToken[];
    readonly problem?: string;
}

const emptyStep: SequenceStep = { tokens: [] };

/** Token order of one answer. `nextOffset` persists across attempts; the buffer and the end belong to one attempt. */
export class TokenSequence {
    private readonly bufferedTokens = new Map<number, string>();
    private end: AnswerEnd | undefined;

    private constructor(
        private readonly rules: AnswerRules,
        private readonly maximumBufferedTokens: number,
        private nextTokenOffset: number,
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
        return this.nextTokenOffset;
    }

    /** Returns the end once every token before it was delivered. */
    public completedEnd(): AnswerEnd | undefined {
        const isComplete =
            this.end !== undefined && this.rules.isComplete(this.nextTokenOffset, this.end.nextOffset);
        return isComplete ? this.end : undefined;
    }

    /** Handles a token of the current attempt. */
    public handleToken(offset: number, text: string): SequenceStep {
        if (this.rules.isDelivered(offset, this.nextTokenOffset)) {
            return emptyStep;
        }
        if (this.end !== undefined && offset >= this.end.nextOffset) {
            return { tokens: [], problem: "the engine sent a token after the end of its stream" };
        }
        if (!this.rules.isNext(offset, this.nextTokenOffset)) {
            return this.bufferToken(offset, text);
        }
        return { tokens: this.advance({ offset, text }) };
    }

    /** Handles the end of the current attempt. */
    public handleEnd(end: AnswerEnd): SequenceStep {
        const hasLater = [...this.bufferedTokens.keys()].some(offset => offset >= end.nextOffset);
        if (end.nextOffset < this.nextTokenOffset || hasLater) {
            return {
                tokens: [],
                problem: "the engine announced an end of its stream that lies before a token it had sent",
            };
        }
        this.end = end;
        return emptyStep;
    }

    /** Discards the buffered tokens and the end of an attempt, since they do not apply to the next attempt. */
    public discardAttempt(): void {
        this.bufferedTokens.clear();
        this.end = undefined;
    }

    private bufferToken(offset: number, text: string): SequenceStep {
        if (this.bufferedTokens.size >= this.maximumBufferedTokens) {
            return { tokens: [], problem: "the engine sent too many tokens after a missing one" };
        }
        this.bufferedTokens.set(offset, text);
        return emptyStep;
    }

    private advance(first: OrderedToken): readonly OrderedToken[] {
        const tokens = [first];
        this.nextTokenOffset = first.offset + 1;
        for (
            let text = this.bufferedTokens.get(this.nextTokenOffset);
            text !== undefined;
            text = this.bufferedTokens.get(this.nextTokenOffset)
        ) {
            this.bufferedTokens.delete(this.nextTokenOffset);
            tokens.push({ offset: this.nextTokenOffset, text });
            this.nextTokenOffset += 1;
        }
        return tokens;
    }
}
