/**
 * Rate at which permits for a cold replica are issued, so that the replica never gets more than its bound in any one second,
 * also while entry instances use different issuers and send what they were permitted a moment late.
 */

/** Bound on the requests in one second, as a factor of the rate that a cold replica sustains and a number beyond it. */
export interface ColdBounds {
    readonly factor: number;
    readonly slack: number;
}

/** Bound where the settings state none. */
export const defaultColdBounds: ColdBounds = { factor: 1, slack: 0 };

/** Time after its start in which a permit for a cold replica may be used, in milliseconds. */
export const coldPermitMilliseconds = 100;
/** Sum of the fractions of the rate at which the issuers of a replica issue permits. */
const issuedFraction = 1 + 1 / 4 + 1 / 8;
/** Permits beyond the rate in any window: the first issuer's burst, and one at the edge of the window for each issuer. */
const burst = 5;
/** Minimum rate, in requests per second: without any request, a replica that is cold for ever would never be used. */
const minimumRequestsPerSecond = 0.2;

/** Returns the rate in requests per second; `sustained` is the rate that the replica sustains. */
export function coldPermitRate(sustained: number, { factor, slack }: ColdBounds): number {
    const maximum = sustained * factor + slack;
    const windowSeconds = 1 + coldPermitMilliseconds / 1_000;
    const issuable = (maximum - burst) / (issuedFraction * windowSeconds);
    return Math.max(minimumRequestsPerSecond, Math.min(sustained, issuable));
}
