/** The expected output of one request: predicted when it arrives, and compared with what the engine generated. */
import type { AdmittedRequest } from "../exchange-context.js";
import type { OutputEstimate, OutputPredictor, OutputQuestion } from "./output-predictor.js";
import { remainingTokens } from "./output-predictor.js";

export class ExpectedOutput {
    private generatedTokens = 0;

    private constructor(
        private readonly predictor: OutputPredictor,
        private readonly question: OutputQuestion,
        private readonly tokensPerEvent: number,
        /** True if this process receives the output from its beginning. */
        private readonly isWhole: boolean,
        private readonly estimate: OutputEstimate,
    ) {}

    /** Predicts the output of a request; undefined if it is not for a model engine. */
    public static create(predictor: OutputPredictor, admitted: AdmittedRequest): ExpectedOutput | undefined {
        const { request, route, service, table, workspace, forwarded } = admitted;
        const engine = table.findService(service)?.engine;
        const { work } = request;
        if (engine === undefined || work === undefined) {
            return undefined;
        }
        const question: OutputQuestion = {
            route: route.name,
            model: work.model,
            workspace,
            maximumTokens: work.maximumOutputTokens,
            hintTokens: work.outputHintTokens,
            usualTokens: engine.usualAnswerTokens,
        };
        const isWhole = request.lastEventId === undefined && forwarded === undefined;
        const estimate = predictor.predict(question);
        return new ExpectedOutput(predictor, question, engine.stepsPerPass, isWhole, estimate);
    }

    /** What is yet to be generated. */
    public get remaining(): OutputEstimate {
        const { estimate, generatedTokens } = this;
        return {
            tokens: remainingTokens(estimate, generatedTokens),
            maximumTokens: Math.max(0, estimate.maximumTokens - generatedTokens),
        };
    }

    /** Returns the number of tokens in some events: all steps of a pass send theirs in one. */
    public tokensIn(events: number): number {
        return events * this.tokensPerEvent;
    }

    /** Records events that the caller has not received before. */
    public recordEvents(events: number): void {
        this.generatedTokens += this.tokensIn(events);
    }

    /**
     * Learns from a stream that has ended by itself; returns the ratio of generated and predicted tokens, or undefined if
     * the stream tells nothing of it. The last event is taken to be half full.
     */
    public recordEnd(): number | undefined {
        if (!this.isWhole || this.generatedTokens === 0) {
            return undefined;
        }
        const tokens = this.generatedTokens - this.tokensPerEvent / 2;
        this.predictor.record(this.question, this.estimate, tokens);
        return tokens / this.estimate.tokens;
    }
}
