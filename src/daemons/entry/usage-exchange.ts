/** Exchanges usage counters with the other entry processes over the mesh. */
import { Subscription, interval } from "rxjs";
import type { Observable } from "rxjs";
import * as z from "zod";
import type { Clock } from "../../contracts/clocks.js";
import type { Admission } from "../../core/admission.js";
import { parseJson } from "../../links/json.js";
import type { PeerUsage } from "../system-view.js";

/** Interval at which this process publishes its usage snapshot, in milliseconds. */
const snapshotIntervalMilliseconds = 1_000;

const snapshotSchema = z.object({
    totals: z
        .array(
            z.object({
                model: z.string(),
                team: z.string(),
                subscriber: z.string().optional(),
                tokens: z.number(),
                recentTokens: z.number(),
            }),
        )
        .max(10_000),
});

/** Dependencies of the usage exchange. */
export interface UsageExchangeOptions {
    readonly admission: Admission;
    readonly clock: Clock;
    readonly publish: (payload: string) => void;
    readonly peers: Observable<PeerUsage>;
}

/** Starts the exchange; unsubscribing stops it. */
export function startUsageExchange(options: UsageExchangeOptions): Subscription {
    const { admission, clock, publish, peers } = options;
    const exchange = new Subscription();
    exchange.add(
        interval(snapshotIntervalMilliseconds).subscribe(() =>
            publish(JSON.stringify(admission.usageSnapshot())),
        ),
    );
    exchange.add(
        peers.subscribe(({ process, incarnation, payload }) => {
            const snapshot = snapshotSchema.safeParse(parseJson(payload));
            if (snapshot.success) {
                admission.applyPeerUsage(process, incarnation, snapshot.data, clock.monotonicMilliseconds());
            }
        }),
    );
    return exchange;
}
