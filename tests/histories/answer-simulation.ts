/** Simulation of one caller, entry instances that crash, and engines, in virtual time. */
import { VirtualLoop } from "../../benchmarks/virtual-loop.js";
import { AnswerLog } from "../../src/core/answer-log.js";
import type { AnswerCommand, AnswerStep } from "../../src/core/answer-commands.js";
import type { AnswerOptions, AnswerRules } from "../../src/core/answer-options.js";
import { defaultAnswerOptions } from "../../src/core/answer-options.js";
import type { Fault } from "../../src/core/errors.js";
import { createRandomGenerator } from "../../src/core/random-numbers.js";
import type { Subscriber } from "./simulated-engine.js";
import { SimulatedEngine, tokenText } from "./simulated-engine.js";

const engineCount = 3;
const pace = {
    firstTokenMilliseconds: 300,
    minimumStallMilliseconds: 150,
    maximumStallMilliseconds: 1_000,
    stallFactor: 10,
};

export interface AnswerSimulationOptions {
    readonly seed: number;
    readonly tokens: number;
    readonly faultRate: number;
    /** Milliseconds that the caller takes to read each token. */
    readonly takeMilliseconds: number;
    /** Whether a reconnecting caller sends the text that it has received. */
    readonly keepsText: boolean;
    readonly remaining: number;
    readonly rules: AnswerRules;
    readonly answer?: Partial<AnswerOptions>;
}

/** End of the answer as the caller receives it. */
export type AnswerEnd = { readonly kind: "finished" } | { readonly kind: "failed"; readonly fault: Fault };

/** Simulation of one answer. */
export class AnswerSimulation {
    public readonly loop = VirtualLoop.create();
    public readonly received: { readonly offset: number; readonly text: string }[] = [];
    public readonly ends: AnswerEnd[] = [];
    /** Time at which the answer ended. */
    public endedAt = 0;
    public entryDeaths = 0;
    public isCalm = false;
    public readonly engines: readonly SimulatedEngine[];
    private readonly random: () => number;
    private readonly deadline: number;
    private connection = 0;
    private attempt = 0;
    private engine = 0;

    private constructor(private readonly options: AnswerSimulationOptions) {
        this.random = createRandomGenerator(options.seed);
        this.deadline = options.remaining;
        const { loop, random } = this;
        const faultRate = () => (this.isCalm ? 0 : options.faultRate);
        const engineOptions = { loop, random, faultRate, tokens: options.tokens };
        this.engines = Array.from({ length: engineCount }, (_, index) =>
            SimulatedEngine.create(index, engineOptions),
        );
    }

    public static create(options: AnswerSimulationOptions): AnswerSimulation {
        const simulation = new AnswerSimulation(options);
        simulation.connect();
        return simulation;
    }

    /** Kills the caller's entry instance; the caller reconnects to another one. */
    public killEntry(): void {
        if (this.ends.length > 0) {
            return;
        }
        this.entryDeaths += 1;
        this.connection += 1;
        const { connection } = this;
        this.loop.after(50, () => connection === this.connection && this.connect());
    }

    /** Text that the caller has received. */
    public text(): string {
        return this.received.map(({ text }) => text).join("");
    }

    private connect(): void {
        const { connection } = this;
        const isFirst = this.attempt === 0;
        this.attempt += 1;
        const log = AnswerLog.create(
            {
                ...defaultAnswerOptions,
                pace,
                maximumBufferedTokens: 8,
                maximumUntakenTokens: 6,
                ...this.options.answer,
                request: "r",
                attempt: this.attempt,
                fromOffset: this.received.length,
                delivered: isFirst || this.options.keepsText ? this.text() : undefined,
                deadline: this.deadline,
            },
            this.loop.now(),
            this.options.rules,
        );
        const driver = new AnswerLogDriver(this, log, connection);
        driver.begin(isFirst);
    }

    public isConnected(connection: number): boolean {
        return connection === this.connection;
    }

    public currentEngine(): SimulatedEngine {
        return this.engines[this.engine]!;
    }

    public moveToNextEngine(): SimulatedEngine {
        this.engine = (this.engine + 1) % engineCount;
        return this.currentEngine();
    }

    public recordAttempt(attempt: number): void {
        this.attempt = Math.max(this.attempt, attempt);
    }

    public end(end: AnswerEnd): void {
        this.ends.push(end);
        this.endedAt = this.loop.now();
    }

    public readDelayMilliseconds(): number {
        return this.options.takeMilliseconds;
    }
}

/** Executes the commands of one answer log, as an entry daemon does. */
class AnswerLogDriver {
    private subscriber: Subscriber | undefined;
    private lastReadAt = 0;
    private plannedTick: number | undefined;

    public constructor(
        private readonly simulation: AnswerSimulation,
        private readonly log: AnswerLog,
        private readonly connection: number,
    ) {}

    public begin(isFirst: boolean): void {
        const subscriber = this.subscribe(this.log.currentAttempt());
        if (isFirst) {
            this.simulation.currentEngine().start(subscriber, "", 0);
        } else {
            this.simulation.currentEngine().resume(subscriber, this.log.offset());
        }
        this.run(() => this.log.tick(this.simulation.loop.now()));
    }

    private subscribe(attempt: number): Subscriber {
        const now = () => this.simulation.loop.now();
        this.simulation.recordAttempt(attempt);
        this.subscriber = {
            request: "r",
            attempt,
            handleEvent: (request, number, event) =>
                this.run(() => this.log.handleEvent({ request, attempt: number, event }, now())),
            handleClose: number => this.run(() => this.log.handleStreamClosed(number, now())),
        };
        return this.subscriber;
    }

    // A killed entry instance executes no further steps.
    private run(step: () => AnswerStep): void {
        if (!this.simulation.isConnected(this.connection)) {
            return;
        }
        const { commands, nextTick } = step();
        commands.forEach(command => this.execute(command));
        this.plannedTick = nextTick;
        if (nextTick !== undefined) {
            this.simulation.loop.at(nextTick, () => this.tickIfPlanned(nextTick));
        }
    }

    // A later step may have replaced the planned tick.
    private tickIfPlanned(at: number): void {
        if (this.plannedTick === at) {
            this.run(() => this.log.tick(this.simulation.loop.now()));
        }
    }

    private execute(command: AnswerCommand): void {
        switch (command.kind) {
            case "deliver":
                this.readInOrder(this.simulation.readDelayMilliseconds(), () => {
                    this.simulation.received.push(command);
                    this.run(() => this.log.recordTaken(command.offset + 1, this.simulation.loop.now()));
                });
                return;
            case "resume":
                this.simulation.currentEngine().resume(this.subscribe(command.attempt), command.fromOffset);
                return;
            case "restart": {
                const engine = this.simulation.moveToNextEngine();
                engine.start(this.subscribe(command.attempt), command.delivered, command.fromOffset);
                return;
            }
            case "detach":
                if (this.subscriber !== undefined) {
                    this.simulation.currentEngine().detach(this.subscriber);
                }
                return;
            case "cancel":
                this.simulation.currentEngine().cancel("r");
                return;
            case "finish":
                this.readInOrder(0, () => this.simulation.end({ kind: "finished" }));
                return;
            case "fail":
                this.readInOrder(0, () => this.simulation.end({ kind: "failed", fault: command.fault }));
        }
    }

    // The caller reads what it is sent in order. What it has not read from an entry instance is lost when that is killed.
    private readInOrder(milliseconds: number, read: () => void): void {
        const { loop } = this.simulation;
        this.lastReadAt = Math.max(this.lastReadAt, loop.now()) + milliseconds;
        loop.at(this.lastReadAt, () => (this.simulation.isConnected(this.connection) ? read() : undefined));
    }
}

/** Returns the first violation in what the caller received; undefined if there is none. */
export function checkReceivedAnswer(simulation: AnswerSimulation, tokens: number): string | undefined {
    let before = "";
    for (const [index, { offset, text }] of simulation.received.entries()) {
        const engine = Number(text.split(".")[2]);
        if (offset !== index || text !== tokenText("r", index, engine, before)) {
            return `caller received "${text}" with offset ${offset} as token ${index}`;
        }
        before += text;
    }
    const [end, ...more] = simulation.ends;
    if (end === undefined || more.length > 0) {
        return `the answer has ${simulation.ends.length} ends instead of 1`;
    }
    if (end.kind === "finished" && simulation.received.length !== tokens) {
        return `finished after ${simulation.received.length} of ${tokens} tokens`;
    }
    if (end.kind === "failed" && end.fault.notRun && simulation.engines.some(({ starts }) => starts > 0)) {
        return `failed as "not run" although an engine started it: ${end.fault.message}`;
    }
    return undefined;
}
