/** Simulated key-value service in virtual time, with links that lose, delay and duplicate calls. */
import { NEVER } from "rxjs";
import type { VirtualLoop } from "../../benchmarks/virtual-loop.js";
import type {
    KeyValueEntry,
    KeyValueStore,
    ReadResponse,
    Swap,
    SwapOutcome,
} from "../../src/contracts/key-value-stores.js";
import type { Fault, Result } from "../../src/core/errors.js";
import { fail, succeed } from "../../src/core/errors.js";

const lostResponseFault: Fault = {
    code: "storeAmbiguous",
    message: "no response",
    step: "store",
    notRun: false,
};
const refusedConnectionFault: Fault = {
    code: "storeUnavailable",
    message: "no connection",
    step: "store",
    notRun: true,
};

/** Effect of the network on one call. */
export interface CallEffect {
    /** Milliseconds until the call takes effect, possibly after its deadline; undefined: the call never takes effect. */
    readonly effectAfter: number | undefined;
    /** Milliseconds from the effect to the response; undefined: the response is lost. */
    readonly responseAfter: number | undefined;
    /** True if the call takes effect twice and the response of the second time arrives. */
    readonly isDuplicated: boolean;
    /** True if a read returns the state before the last write. */
    readonly isStale: boolean;
    /** True if the connection is refused. */
    readonly isRefused: boolean;
}

/** Values of the service and counts of calls. */
export class SimulatedStore {
    private readonly values = new Map<string, KeyValueEntry>();
    private revision = 1;
    private previousState: ReadResponse = { revision: 0, entries: [] };
    public reads = 0;
    public swaps = 0;
    public conflicts = 0;

    private constructor() {}

    public static create(): SimulatedStore {
        return new SimulatedStore();
    }

    /** Reads a value; a stale read returns the state before the last write to any key. */
    public read(key: string, isStale: boolean): ReadResponse {
        this.reads += 1;
        if (isStale) {
            const { revision, entries } = this.previousState;
            return { revision, entries: entries.filter(entry => entry.key === key) };
        }
        const entry = this.values.get(key);
        return { revision: this.revision, entries: entry === undefined ? [] : [entry] };
    }

    public list(prefix: string): ReadResponse {
        this.reads += 1;
        const entries = [...this.values.values()].filter(({ key }) => key.startsWith(prefix));
        return { revision: this.revision, entries };
    }

    public swap({ key, expectedRevision, value }: Swap): SwapOutcome {
        this.swaps += 1;
        const current = this.values.get(key);
        if ((current?.modRevision ?? 0) !== expectedRevision) {
            this.conflicts += 1;
            return { kind: "conflict", revision: this.revision, current };
        }
        this.previousState = { revision: this.revision, entries: [...this.values.values()] };
        this.revision += 1;
        if (value === undefined) {
            this.values.delete(key);
        } else {
            this.values.set(key, { key, value, modRevision: this.revision });
        }
        return { kind: "swapped", revision: this.revision };
    }

    /** Length of the longest value, in characters. */
    public longestValue(): number {
        return Math.max(0, ...[...this.values.values()].map(entry => entry.value.length));
    }
}

/** Connects one client to the store. `deliver` passes responses to the client, which may be paused or have crashed. */
export function connectStore(
    store: SimulatedStore,
    loop: VirtualLoop,
    nextEffect: () => CallEffect,
    deliver: (action: () => void) => void,
): KeyValueStore {
    function call<T>(deadline: number, effect: (isStale: boolean) => T, onLost: T, onRefused: T): Promise<T> {
        const callEffect = nextEffect();
        return new Promise(resolve => {
            if (callEffect.isRefused) {
                loop.after(1, () => deliver(() => resolve(onRefused)));
                return;
            }
            loop.at(deadline, () => deliver(() => resolve(onLost)));
            if (callEffect.effectAfter === undefined) {
                return;
            }
            loop.after(callEffect.effectAfter, () => {
                const first = effect(callEffect.isStale);
                const answer = callEffect.isDuplicated ? effect(callEffect.isStale) : first;
                if (callEffect.responseAfter !== undefined) {
                    loop.after(callEffect.responseAfter, () => deliver(() => resolve(answer)));
                }
            });
        });
    }
    const unused = () => Promise.resolve(fail(refusedConnectionFault));
    return {
        get: (key, { deadline }) =>
            call<Result<ReadResponse>>(
                deadline,
                isStale => succeed(store.read(key, isStale)),
                fail(lostResponseFault),
                fail(refusedConnectionFault),
            ),
        compareAndSwap: (swap, { deadline }) =>
            call<SwapOutcome>(
                deadline,
                () => store.swap(swap),
                { kind: "ambiguous", fault: lostResponseFault },
                { kind: "notSent", fault: refusedConnectionFault },
            ),
        list: (prefix, { deadline }) =>
            call<Result<ReadResponse>>(
                deadline,
                () => succeed(store.list(prefix)),
                fail(lostResponseFault),
                fail(refusedConnectionFault),
            ),
        grantLease: unused,
        renewLease: unused,
        revokeLease: unused,
        watch: () => NEVER,
    };
}
