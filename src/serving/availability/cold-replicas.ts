/**
 * Replicas that are cold: for some time after a start they sustain few requests, and crash well above that rate. Registrations
 * are read late and responses state it only sometimes, so a replica also counts as cold when it appears anew, after a connection
 * to it broke, and when another entry instance says so. All times are deadlines in local monotonic milliseconds.
 */
import { keepOnlyKeys } from "../collections.js";
import type { FleetInstance } from "../fleets.js";

/** How a service's replicas start. */
export interface ColdStart {
    /** Time for which a replica is cold after a start during traffic. */
    readonly milliseconds: number;
    /** Requests per second that a cold replica sustains over all entry instances. */
    readonly requestsPerSecond: number;
}

/** What entry instances tell each other about a replica that they found to be cold themselves. */
export interface ColdAnnouncement {
    readonly id: string;
    /** Time for which the replica stays cold. */
    readonly remainingMilliseconds: number;
}

/** Time after a broken connection in which the registration shows whether the replica has started again, in milliseconds. */
const suspicionMilliseconds = 5_000;
/** Maximum number of replicas in one message; those that are known for the shortest time are announced. */
const maximumAnnounced = 64;

interface ColdRecord {
    readonly incarnation: number | undefined;
    readonly heartbeat: number;
    readonly statedMilliseconds: number;
    /** Deadline that the registration states. */
    readonly registeredUntil: number;
    /** Time at which the start appeared during traffic; undefined once a later registration states its deadline. */
    readonly appearedAt: number | undefined;
    /** Deadline by responses to this process. */
    readonly observedUntil: number;
    /** Deadline by broken connections. */
    readonly suspectedUntil: number;
    /** Time of the last response that states a deadline, or of the last broken connection. */
    readonly observedAt: number;
    readonly peersUntil: number;
    /** Time since which this process has known the replica to be cold by itself. */
    readonly coldSince: number;
}

const unknownRecord: ColdRecord = {
    incarnation: undefined,
    heartbeat: 0,
    statedMilliseconds: 0,
    registeredUntil: Number.NEGATIVE_INFINITY,
    appearedAt: undefined,
    observedUntil: Number.NEGATIVE_INFINITY,
    suspectedUntil: Number.NEGATIVE_INFINITY,
    observedAt: Number.NEGATIVE_INFINITY,
    peersUntil: Number.NEGATIVE_INFINITY,
    coldSince: 0,
};

export class ColdReplicas {
    private readonly records = new Map<string, ColdRecord>();
    private readonly services = new Map<string, string>();
    private hasRead = false;

    private constructor(private readonly coldStartOf: (service: string) => ColdStart | undefined) {}

    /** `coldStartOf` returns undefined for a service whose replicas start warm. */
    public static create(coldStartOf: (service: string) => ColdStart | undefined): ColdReplicas {
        return new ColdReplicas(coldStartOf);
    }

    /** Applies the present registrations; returns the replicas that are cold now and that nobody knew to be cold. */
    public applyRegistrations(instances: Iterable<FleetInstance>, now: number): readonly string[] {
        const found: string[] = [];
        let hasAny = false;
        for (const instance of instances) {
            hasAny = true;
            const wasCold = this.isCold(instance, now);
            this.applyRegistration(instance, now);
            if (!wasCold && this.isCold(instance, now)) {
                found.push(instance.id);
            }
        }
        this.hasRead ||= hasAny;
        return found;
    }

    /** Records the remaining time that a response states; `sentAt` is the time at which its request was sent. */
    public recordStatement(
        { id, service }: Pick<FleetInstance, "id" | "service">,
        remainingMilliseconds: number,
        sentAt: number,
        now: number,
    ): void {
        const before = this.records.get(id) ?? unknownRecord;
        // A response to an older request may have been overtaken by one that states more.
        if (sentAt >= before.observedAt) {
            this.set(id, service, {
                ...before,
                observedUntil: now + remainingMilliseconds,
                suspectedUntil: now,
                observedAt: now,
                coldSince: now < before.observedUntil ? before.coldSince : now,
            });
        }
    }

    /** Records that a connection to a replica failed or broke, as when the replica starts again. */
    public recordBrokenConnection({ id, service }: Pick<FleetInstance, "id" | "service">, now: number): void {
        const coldStart = this.coldStartOf(service);
        if (coldStart === undefined) {
            return;
        }
        const before = this.records.get(id) ?? unknownRecord;
        const until = now + Math.min(coldStart.milliseconds, suspicionMilliseconds);
        this.set(id, service, {
            ...before,
            suspectedUntil: until,
            observedAt: now,
        });
    }

    /** Applies what another entry instance found itself. */
    public applyAnnouncements(announcements: readonly ColdAnnouncement[], now: number): void {
        for (const { id, remainingMilliseconds } of announcements) {
            const before = this.records.get(id);
            if (before !== undefined) {
                const peersUntil = Math.max(before.peersUntil, now + remainingMilliseconds);
                this.records.set(id, { ...before, peersUntil });
            }
        }
    }

    /** Returns the requests per second that a replica sustains while it is cold; undefined while it is warm. */
    public rateOf({ id, service }: Pick<FleetInstance, "id" | "service">, now: number): number | undefined {
        const coldStart = this.coldStartOf(service);
        const record = this.records.get(id);
        if (coldStart === undefined || record === undefined) {
            return undefined;
        }
        const until = Math.max(statedDeadline(record, coldStart), record.suspectedUntil, record.peersUntil);
        return now < until ? coldStart.requestsPerSecond : undefined;
    }

    /** Returns the number of replicas that are cold. */
    public count(now: number): number {
        return [...this.services].filter(([id, service]) => this.isCold({ id, service }, now)).length;
    }

    /**
     * Returns the replicas that this process found to be cold itself. What other entry instances stated is not passed on: each
     * pass would add its delay, so that a replica would stay cold for ever. Broken connections are not, since an entry instance
     * with bad links would limit the replicas for all others.
     */
    public announcement(now: number): readonly ColdAnnouncement[] {
        return [...this.records]
            .flatMap(([id, record]) => {
                const coldStart = this.coldStartOf(this.services.get(id) ?? "");
                const until = coldStart === undefined ? now : statedDeadline(record, coldStart);
                return now < until ? [{ id, since: record.coldSince, remaining: until - now }] : [];
            })
            .sort((left, right) => right.since - left.since)
            .slice(0, maximumAnnounced)
            .map(({ id, remaining }) => ({ id, remainingMilliseconds: Math.ceil(remaining) }));
    }

    public retainReplicas(replicas: { readonly has: (replica: string) => boolean }): void {
        keepOnlyKeys(this.records, replicas);
        keepOnlyKeys(this.services, replicas);
    }

    private isCold(instance: Pick<FleetInstance, "id" | "service">, now: number): boolean {
        return this.rateOf(instance, now) !== undefined;
    }

    private applyRegistration(instance: FleetInstance, now: number): void {
        const { id, service, heartbeat, coldMilliseconds = 0 } = instance;
        const { incarnation } = instance.status;
        const before = this.records.get(id);
        const isSameStart = before !== undefined && before.incarnation === incarnation;
        const isSameStatement =
            isSameStart && before.heartbeat === heartbeat && before.statedMilliseconds === coldMilliseconds;
        // The deadline of a statement counts from its first sight, not from each rereading.
        if (isSameStatement) {
            return;
        }
        const record = before ?? unknownRecord;
        const stated = { incarnation, heartbeat, statedMilliseconds: coldMilliseconds };
        this.set(id, service, {
            ...record,
            ...stated,
            registeredUntil: now + coldMilliseconds,
            appearedAt: isSameStart || !this.hasRead ? undefined : now,
            coldSince: now < record.registeredUntil ? record.coldSince : now,
        });
    }

    private set(id: string, service: string, record: ColdRecord): void {
        this.records.set(id, record);
        this.services.set(id, service);
    }
}

/** Returns the deadline by what the replica's registration and responses state to this process. */
function statedDeadline(
    { registeredUntil, appearedAt, observedUntil }: ColdRecord,
    { milliseconds }: ColdStart,
): number {
    const startedUntil = appearedAt === undefined ? Number.NEGATIVE_INFINITY : appearedAt + milliseconds;
    return Math.max(registeredUntil, startedUntil, observedUntil);
}
