/**
 * The account of the memory that messages take in one process: who may read on, who waits, and who is closed in which order.
 * Covers callers that hold bodies short of their end, read responses slowly, or open very many requests. Decides only; the ports
 * carry the decisions out.
 */

/** What a holding is for. */
export type MemoryPurpose =
    /** The part of a head that has arrived. */
    | "partialHead"
    /** Bytes that a caller has sent ahead of the response to its open request. */
    | "readAhead"
    /** Head and body of a caller's request. */
    | "request"
    /** A request that another entry instance forwards. */
    | "forwarded"
    /** Bytes of a response that its recipient has yet to read. */
    | "response";

/** Why a holding is closed. */
export type ClosureReason =
    /** It made no progress while others needed memory. */
    | "stalled"
    /** The account was over its budget, and the holding held most for longest without progress. */
    | "overBudget"
    /** It made no progress for a long time. */
    | "idle"
    /** It waited for memory that did not become free. */
    | "waited";

/** Bytes that one message or connection holds. */
export interface Holding {
    readonly purpose: MemoryPurpose;
    /** Bytes that are held. */
    readonly bytes: number;
    /** Carries out a closure. */
    readonly close: (reason: ClosureReason) => void;
}

interface MutableHolding extends Holding {
    bytes: number;
    /** Bytes that it may grow to. */
    reservedBytes: number;
    /** True while it must not be closed: the request is about to be answered. */
    isProtected: boolean;
    /** Local monotonic milliseconds. */
    progressAt: number;
    /** Bytes of progress since `progressAt`. */
    recentBytes: number;
    /** Local monotonic milliseconds since which it waits for a reservation. */
    waitingSince: number | undefined;
    isOpen: boolean;
}

export interface Closure {
    readonly holding: Holding;
    readonly reason: ClosureReason;
}

/** Part of the budget that reservations may fill; the rest is for small messages, which need none. */
const reservableFraction = 0.75;
/** Bytes that count as progress; a sender of a few bytes at a time makes none. */
const progressBytes = 4 * 1024;
/** Time without progress after which a holding is closed while others need memory, in milliseconds; a lost packet takes less. */
const stallMilliseconds = 1_000;
/** The same for responses, of which the kernel takes whole parts that a slow reader reads for seconds. */
const responseStallMilliseconds = 3_000;
/** Time without progress after which a response is closed in any case, in milliseconds. */
const idleResponseMilliseconds = 15_000;
/** Time for which a message waits for a reservation, in milliseconds; then its caller had better try another process. */
const maximumWaitMilliseconds = 1_500;

export class MemoryAccount {
    private readonly holdings = new Set<MutableHolding>();
    /** Holdings that wait for a reservation, in the order in which they asked. */
    private readonly waiting = new Set<MutableHolding>();
    private chargedBytes = 0;

    private constructor(private readonly budgetBytes: number) {}

    public static create(budgetBytes: number): MemoryAccount {
        return new MemoryAccount(budgetBytes);
    }

    /** Bytes that are held or reserved. */
    public get charged(): number {
        return this.chargedBytes;
    }

    public get isOverBudget(): boolean {
        return this.chargedBytes > this.budgetBytes;
    }

    public get openCount(): number {
        return this.holdings.size;
    }

    public bytesOf(purpose: MemoryPurpose): number {
        let bytes = 0;
        for (const holding of this.holdings) {
            bytes += holding.purpose === purpose ? holding.bytes : 0;
        }
        return bytes;
    }

    public open(purpose: MemoryPurpose, now: number, close: Holding["close"]): Holding {
        const holding: MutableHolding = {
            purpose,
            bytes: 0,
            close,
            reservedBytes: 0,
            isProtected: false,
            progressAt: now,
            recentBytes: 0,
            waitingSince: undefined,
            isOpen: true,
        };
        this.holdings.add(holding);
        return holding;
    }

    /** Sets the number of bytes that are held; `movedBytes`: bytes that the other side has sent or read since. */
    public record(holding: Holding, bytes: number, movedBytes: number, now: number): void {
        const state = holding as MutableHolding;
        if (!state.isOpen) {
            return;
        }
        state.recentBytes += movedBytes;
        if (state.recentBytes >= progressBytes) {
            state.recentBytes = 0;
            state.progressAt = now;
        }
        this.charge(state, () => (state.bytes = bytes));
    }

    /**
     * Asks for room up to `bytes` in total; true if the holding may grow to it. A holding that has to wait asks again, and is
     * served in the order of the first question.
     */
    public reserve(holding: Holding, bytes: number, now: number): boolean {
        const state = holding as MutableHolding;
        if (!state.isOpen || bytes <= state.reservedBytes) {
            return state.isOpen;
        }
        const [first] = this.waiting;
        const others = this.chargedBytes - chargeOf(state);
        const hasRoom = others + bytes <= this.budgetBytes * reservableFraction;
        if (hasRoom && (first === undefined || first === state)) {
            this.waiting.delete(state);
            state.waitingSince = undefined;
            state.progressAt = now;
            this.charge(state, () => (state.reservedBytes = bytes));
            return true;
        }
        state.waitingSince ??= now;
        this.waiting.add(state);
        return false;
    }

    /** Protects a holding whose request is complete from being closed, and gives back what it reserved and did not use. */
    public protect(holding: Holding): void {
        const state = holding as MutableHolding;
        state.isProtected = true;
        this.charge(state, () => (state.reservedBytes = 0));
    }

    public end(holding: Holding): void {
        const state = holding as MutableHolding;
        if (state.isOpen) {
            state.isOpen = false;
            this.chargedBytes -= chargeOf(state);
            this.holdings.delete(state);
            this.waiting.delete(state);
        }
    }

    /** Returns the holdings that are to be closed now, first the one that holds most for longest without progress; ends them. */
    public takeClosures(now: number): readonly Closure[] {
        const closures: Closure[] = [];
        const close = (holding: MutableHolding, reason: ClosureReason): void => {
            this.end(holding);
            closures.push({ holding, reason });
        };
        for (const holding of [...this.waiting]) {
            if (now - (holding.waitingSince ?? now) >= maximumWaitMilliseconds) {
                close(holding, "waited");
            }
        }
        const isShort = this.waiting.size > 0 || closures.length > 0;
        if (!isShort && !this.isOverBudget) {
            this.closeIdleResponses(now, close);
            return closures;
        }
        for (const holding of this.closable(now)) {
            if (isStalled(holding, now)) {
                close(holding, "stalled");
            } else if (this.isOverBudget && holding.purpose !== "response") {
                close(holding, "overBudget");
            }
        }
        return closures;
    }

    /** Returns the holding of a request that makes no progress, if any; ends it. */
    public takeStalled(now: number): Closure | undefined {
        const holding = this.closable(now).find(each => each.purpose !== "readAhead" && isStalled(each, now));
        if (holding !== undefined) {
            this.end(holding);
        }
        return holding && { holding, reason: "stalled" };
    }

    private closeIdleResponses(
        now: number,
        close: (holding: MutableHolding, reason: ClosureReason) => void,
    ): void {
        for (const holding of [...this.holdings]) {
            if (
                holding.purpose === "response" &&
                idleMilliseconds(holding, now) >= idleResponseMilliseconds
            ) {
                close(holding, "idle");
            }
        }
    }

    private closable(now: number): readonly MutableHolding[] {
        const weight = (holding: MutableHolding): number =>
            chargeOf(holding) * (1 + idleMilliseconds(holding, now));
        return [...this.holdings]
            .filter(({ isProtected, waitingSince }) => !isProtected && waitingSince === undefined)
            .sort((left, right) => weight(right) - weight(left));
    }

    private charge(holding: MutableHolding, change: () => void): void {
        const before = chargeOf(holding);
        change();
        if (holding.isOpen) {
            this.chargedBytes += chargeOf(holding) - before;
        }
    }
}

function chargeOf({ bytes, reservedBytes }: MutableHolding): number {
    return Math.max(bytes, reservedBytes);
}

function isStalled(holding: MutableHolding, now: number): boolean {
    const limit = holding.purpose === "response" ? responseStallMilliseconds : stallMilliseconds;
    return idleMilliseconds(holding, now) >= limit;
}

function idleMilliseconds({ progressAt }: MutableHolding, now: number): number {
    return Math.max(0, now - progressAt);
}
