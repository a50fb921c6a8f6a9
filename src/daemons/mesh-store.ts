/** Follows the configuration and the placement values in the store for the mesh. */
import type { Clock } from "../contracts/clocks.js";
import type {
    KeyValueEntry,
    KeyValueStore,
    ReadResponse,
    WatchEvent,
} from "../contracts/key-value-stores.js";
import type { ConfigurationChange, ConfigurationRejection } from "../core/configuration-updates.js";
import { configurationPrefix } from "../core/configuration-values.js";
import type { Fault } from "../core/errors.js";
import type { MeshState } from "../core/mesh-state.js";
import type { PlacementEntry } from "../core/mesh-values.js";
import { PrefixFollower } from "./prefix-follower.js";

/** Prefix of the placement values. */
export const placementPrefix = "placement/";

/** Options of `MeshStore`. */
export interface MeshStoreOptions {
    readonly state: MeshState;
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: () => number;
    readonly onConfiguration: (rejections: readonly ConfigurationRejection[]) => void;
    readonly onPlacements: () => void;
    readonly onFault: (fault: Fault) => void;
}

/** Follows the configuration and the placement prefix; watches them only while this process is a watcher. */
export class MeshStore {
    private readonly configuration: PrefixFollower;
    private readonly placement: PrefixFollower;

    private constructor(private readonly options: MeshStoreOptions) {
        const { store, clock, random, onFault } = options;
        const shared = { store, clock, random, onFault, watching: false };
        this.configuration = PrefixFollower.create({
            ...shared,
            prefix: configurationPrefix,
            priority: "configuration",
            onRead: (response, startedAt) => this.applyConfigurationRead(response, startedAt),
            onWatch: event => this.applyConfigurationWatch(event),
        });
        this.placement = PrefixFollower.create({
            ...shared,
            prefix: placementPrefix,
            priority: "placement",
            onRead: response => this.applyPlacementRead(response),
            onWatch: event => this.applyPlacementWatch(event),
        });
    }

    public static create(options: MeshStoreOptions): MeshStore {
        return new MeshStore(options);
    }

    public get isWatching(): boolean {
        return this.configuration.isWatching;
    }

    public tick(now: number): void {
        const isWatcher = this.options.state.isWatcher(now);
        const confirmedAt = this.options.state.configurationConfirmedAt;
        this.configuration.tick(isWatcher, confirmedAt);
        this.placement.tick(isWatcher, confirmedAt);
    }

    public close(): void {
        this.configuration.close();
        this.placement.close();
    }

    private applyConfigurationRead(response: ReadResponse, startedAt: number): void {
        const { state } = this.options;
        const change = state.configuration.applySnapshot(response);
        if (!change.stale) {
            state.confirm(startedAt);
        }
        this.publish(change);
    }

    private applyConfigurationWatch(event: WatchEvent): void {
        const { state, clock } = this.options;
        this.publish(state.configuration.applyWatch(event));
        state.confirm(state.arrivalTime(clock.monotonicMilliseconds()));
    }

    private publish(change: ConfigurationChange): void {
        if (change.changed || change.rejections.length > 0) {
            this.options.onConfiguration(change.rejections);
        }
    }

    private applyPlacementRead(response: ReadResponse): void {
        const entries = response.entries.map(toPlacementEntry);
        if (this.options.state.observePlacements(response.revision, entries)) {
            this.options.onPlacements();
        }
    }

    private applyPlacementWatch(event: WatchEvent): void {
        if (event.kind !== "changes") {
            return;
        }
        const deletions = event.deletes.map(key => ({ key, modRevision: event.revision, text: undefined }));
        const entries = [...event.puts.map(toPlacementEntry), ...deletions];
        const accepted = entries.filter(entry => this.options.state.observePlacement(entry));
        if (accepted.length > 0) {
            this.options.onPlacements();
        }
    }
}

function toPlacementEntry(entry: KeyValueEntry): PlacementEntry {
    return { key: entry.key, modRevision: entry.modRevision, text: entry.value };
}
