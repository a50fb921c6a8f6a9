/**
 * Follows the operators' configuration from the store alone, for tools; daemons follow the configuration through the
 * mesh.
 */
import { BehaviorSubject, interval } from "rxjs";
import type { Observable } from "rxjs";
import type { Clock } from "../contracts/clocks.js";
import type { KeyValueStore } from "../contracts/key-value-stores.js";
import type { ConfigurationRejection } from "../core/configuration-updates.js";
import type { Configuration } from "../core/configuration-values.js";
import { configurationPrefix } from "../core/configuration-values.js";
import { ConfigurationFollower } from "../core/configuration-follower.js";
import type { Fault } from "../core/errors.js";
import { PrefixFollower } from "./prefix-follower.js";

/** Interval between ticks, in milliseconds. */
const tickIntervalMilliseconds = 250;

/** Options of `startConfigurationFollower`. */
export interface ConfigurationFollowerOptions {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: () => number;
    readonly onRejection?: (rejection: ConfigurationRejection) => void;
    readonly onFault?: (fault: Fault) => void;
    /** Emits at each tick; by default at a fixed interval. Tests pass their own. */
    readonly ticks?: Observable<unknown>;
}

/** A running follower. */
export interface RunningConfigurationFollower {
    /**
     * Emits the configuration in force, on subscription and at each change; its `revision` is 0 until the store has
     * been read.
     */
    readonly configuration: Observable<Configuration>;
    readonly follower: ConfigurationFollower;
    readonly close: () => void;
}

/** Starts reading and watching the configuration. */
export function startConfigurationFollower(
    options: ConfigurationFollowerOptions,
): RunningConfigurationFollower {
    const follower = ConfigurationFollower.create();
    const configuration = new BehaviorSubject(follower.configuration);
    const apply = (change: ReturnType<ConfigurationFollower["applySnapshot"]>) => {
        change.rejections.forEach(rejection => options.onRejection?.(rejection));
        if (configuration.value !== follower.configuration) {
            configuration.next(follower.configuration);
        }
    };
    const following = PrefixFollower.create({
        prefix: configurationPrefix,
        priority: "configuration",
        store: options.store,
        clock: options.clock,
        random: options.random,
        watching: true,
        onRead: response => apply(follower.applySnapshot(response)),
        onWatch: event => apply(follower.applyWatch(event)),
        onFault: fault => options.onFault?.(fault),
    });
    const ticks = (options.ticks ?? interval(tickIntervalMilliseconds)).subscribe(() =>
        following.tick(true, undefined),
    );
    following.tick(true, undefined);
    return {
        configuration: configuration.asObservable(),
        follower,
        close: () => {
            ticks.unsubscribe();
            following.close();
        },
    };
}
