/** Simulated key-value service in virtual time, with links that lose, delay and duplicate calls. */
import { NEVER } from "rxjs";
import type { VirtualLoop } from "../../benchmarks/loops.js";
import type {
    KeyValueEntry,
    KeyValueStore,
    ReadResponse,
    Swap,
    SwapOutcome,
} from "../../src/contracts/key-value-stores.js";
import type { Fault, Result } from "../../src/core/errors.js";
import { fail, succeed } from "../../src/core/errors.js";

const lost: Fault = { code: "storeAmbiguous", message: "no response", step: "store", notRun: false };
const refused: Fault = { code: "storeUnavailable", message: "no connection", step: "store", notRun: true };

/** Effect of the network on one call. */
export interface CallFate {
    /** Milliseconds until the call takes effect, possibly after its deadline; undefined: the call never takes effect. */
    readonly effectAfter: number | undefined;
    /** Milliseconds from the effect to the response; undefined: the response is lost. */
    readonly answerAfter: number | undefined;
    /** True if the call takes effect twice and the response of the second time arrives. */
    readonly isDoubled: boolean;
    /** True if a read returns the state before the last write. */
    readonly isStale: boolean;
    /** True if the connection is refused. */
    readonly isRefused: boolean;
}

/** Values of the service and counts of calls. */
export class ModelStore {
    private readonly values = new Map<string, KeyValueEntry>();
    private revision = 1;
    private previous: ReadResponse = { revision: 0, entries: [] };
    public reads = 0;
    public swaps = 0;
    public conflicts = 0;

    private constructor() {}

    public static create(): ModelStore {
        return new ModelStore();
    }

    /** Reads a value; a stale read returns the state before the last write to any key. */
    public read(key: string, isStale: boolean): ReadResponse {
        this.reads += 1;
        if (isStale) {
            const { revision, entries } = this.previous;
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
        this.previous = { revision: this.revision, entries: [...this.values.values()] };
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
    store: ModelStore,
    loop: VirtualLoop,
    nextFate: () => CallFate,
    deliver: (action: () => void) => void,
): KeyValueStore {
    function call<T>(deadline: number, effect: (isStale: boolean) => T, onLost: T, onRefused: T): Promise<T> {
        const fate = nextFate();
        return new Promise(resolve => {
            if (fate.isRefused) {
                loop.after(1, () => deliver(() => resolve(onRefused)));
                return;
            }
            loop.at(deadline, () => deliver(() => resolve(onLost)));
            if (fate.effectAfter === undefined) {
                return;
            }
            loop.after(fate.effectAfter, () => {
                const first = effect(fate.isStale);
                const answer = fate.isDoubled ? effect(fate.isStale) : first;
                if (fate.answerAfter !== undefined) {
                    loop.after(fate.answerAfter, () => deliver(() => resolve(answer)));
                }
            });
        });
    }
    const unused = () => Promise.resolve(fail(refused));
    return {
        get: (key, { deadline }) =>
            call<Result<ReadResponse>>(
                deadline,
                isStale => succeed(store.read(key, isStale)),
                fail(lost),
                fail(refused),
            ),
        compareAndSwap: (swap, { deadline }) =>
            call<SwapOutcome>(
                deadline,
                () => store.swap(swap),
                { kind: "ambiguous", fault: lost },
                { kind: "notSent", fault: refused },
            ),
        list: (prefix, { deadline }) =>
            call<Result<ReadResponse>>(
                deadline,
                () => succeed(store.list(prefix)),
                fail(lost),
                fail(refused),
            ),
        grantLease: unused,
        renewLease: unused,
        revokeLease: unused,
        watch: () => NEVER,
    };
}
