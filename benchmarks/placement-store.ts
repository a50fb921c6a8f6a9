/** Simulates the key-value service, with calls that are lost before or after they take effect. */
import type { Lease, ReadResponse, Swap, SwapOutcome } from "../src/contracts/key-value-stores.js";
import type { Fault, Result } from "../src/core/errors.js";
import { fail, succeed } from "../src/core/errors.js";
import type { VirtualLoop } from "./virtual-loop.js";

interface StoredEntry {
    readonly value: string;
    readonly modRevision: number;
    readonly lease?: string;
}

/** Probabilities of faults of one call, and the response's delay. */
export interface FakeStoreFaults {
    readonly requestLost: number;
    readonly answerLost: number;
    /** The request takes effect only after its caller has timed out. */
    readonly effectLate: number;
}

/** A period in which the store held one holder's lease key. */
export interface HolderTerm {
    readonly key: string;
    readonly holder: string;
    readonly from: number;
}

const callTimeoutMilliseconds = 2_000;

export class FakeStore {
    public calls = 0;
    public writes = 0;
    public downUntil = 0;
    public faults: FakeStoreFaults = { requestLost: 0, answerLost: 0, effectLate: 0 };
    /** Clients that cannot reach the service until the given time. */
    public readonly cutUntil = new Map<string, number>();
    public readonly terms: HolderTerm[] = [];
    private readonly entries = new Map<string, StoredEntry>();
    private readonly leases = new Map<string, { expiresAt: number; readonly seconds: number }>();
    private revision = 0;
    private nextLease = 0;

    private constructor(
        private readonly loop: VirtualLoop,
        private readonly random: () => number,
        private readonly onWrite: (key: string, value: string | undefined) => void,
    ) {}

    public static create(
        loop: VirtualLoop,
        random: () => number,
        onWrite: (key: string, value: string | undefined) => void,
    ): FakeStore {
        return new FakeStore(loop, random, onWrite);
    }

    public get(client: string, key: string, respond: (result: Result<ReadResponse>) => void): void {
        this.call(client, () => this.read(key), succeedOrFail(respond));
    }

    public grantLease(client: string, seconds: number, respond: (result: Result<Lease>) => void): void {
        const deadline = this.loop.now() + seconds * 1_000;
        this.call(
            client,
            () => {
                this.nextLease += 1;
                const id = `lease-${this.nextLease}`;
                this.leases.set(id, { expiresAt: this.loop.now() + seconds * 1_000, seconds });
                return { id, deadline };
            },
            succeedOrFail(respond),
        );
    }

    public renewLease(client: string, id: string, respond: (result: Result<Lease>) => void): void {
        const sentAt = this.loop.now();
        this.call(
            client,
            () => {
                this.expire();
                const lease = this.leases.get(id);
                if (lease === undefined) {
                    return fail<Lease>(storeFault("notFound"));
                }
                lease.expiresAt = this.loop.now() + lease.seconds * 1_000;
                return succeed({ id, deadline: sentAt + lease.seconds * 1_000 });
            },
            outcome =>
                respond(outcome.kind === "done" ? outcome.value : fail(storeFault("storeUnavailable"))),
        );
    }

    public revokeLease(client: string, id: string): void {
        this.call(
            client,
            () => this.dropLease(id),
            () => undefined,
        );
    }

    public compareAndSwap(client: string, swap: Swap, respond: (outcome: SwapOutcome) => void): void {
        this.call(
            client,
            () => this.swap(swap),
            outcome =>
                respond(
                    outcome.kind === "done"
                        ? outcome.value
                        : { kind: "ambiguous", fault: storeFault("storeAmbiguous") },
                ),
        );
    }

    private read(key: string): ReadResponse {
        this.expire();
        const entry = this.entries.get(key);
        const entries = entry === undefined ? [] : [{ key, ...entry }];
        return { revision: this.revision, entries };
    }

    private swap(swap: Swap): SwapOutcome {
        this.expire();
        const current = this.entries.get(swap.key);
        const hasLease = swap.lease === undefined || this.leases.has(swap.lease);
        if ((current?.modRevision ?? 0) !== swap.expectedRevision || !hasLease) {
            const shown = current === undefined ? undefined : { key: swap.key, ...current };
            return { kind: "conflict", revision: this.revision, current: shown };
        }
        this.revision += 1;
        this.writes += 1;
        if (swap.value === undefined) {
            this.entries.delete(swap.key);
        } else {
            this.entries.set(swap.key, { value: swap.value, modRevision: this.revision, lease: swap.lease });
        }
        if (swap.lease !== undefined && swap.value !== undefined) {
            this.terms.push({ key: swap.key, holder: swap.value, from: this.loop.now() });
        }
        this.onWrite(swap.key, swap.value);
        return { kind: "swapped", revision: this.revision };
    }

    private expire(): void {
        for (const [id, lease] of this.leases) {
            if (this.loop.now() >= lease.expiresAt) {
                this.dropLease(id);
            }
        }
    }

    private dropLease(id: string): void {
        this.leases.delete(id);
        [...this.entries]
            .filter(([, entry]) => entry.lease === id)
            .forEach(([key]) => this.entries.delete(key));
    }

    private call<T>(
        client: string,
        effect: () => T,
        respond: (outcome: { kind: "done"; value: T } | { kind: "lost" }) => void,
    ): void {
        this.calls += 1;
        const sentAt = this.loop.now();
        const isCut = sentAt < this.downUntil || sentAt < (this.cutUntil.get(client) ?? 0);
        const faultDraw = this.random();
        const { requestLost, answerLost, effectLate } = this.faults;
        const timeOut = (): void =>
            this.loop.at(sentAt + callTimeoutMilliseconds, () => respond({ kind: "lost" }));
        if (isCut || faultDraw < requestLost) {
            timeOut();
            return;
        }
        if (faultDraw < requestLost + effectLate) {
            this.loop.after(callTimeoutMilliseconds * (1 + 2 * this.random()), () => void effect());
            timeOut();
            return;
        }
        this.loop.after(1 + 3 * this.random(), () => {
            const value = effect();
            if (faultDraw < requestLost + effectLate + answerLost) {
                timeOut();
            } else {
                this.loop.after(1 + 3 * this.random(), () => respond({ kind: "done", value }));
            }
        });
    }
}

function succeedOrFail<T>(
    respond: (result: Result<T>) => void,
): (outcome: { kind: "done"; value: T } | { kind: "lost" }) => void {
    return outcome =>
        respond(outcome.kind === "done" ? succeed(outcome.value) : fail(storeFault("storeUnavailable")));
}

function storeFault(code: Fault["code"]): Fault {
    return { code, message: "the key-value service did not respond", step: "store", notRun: false };
}
