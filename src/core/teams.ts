/** Teams and their subscribers. Source: operators' configuration under `config/teams/<team>/`. */

export type TeamId = string;
export type SubscriberId = string;

/** One subscriber's credential; only its hash is kept. */
export interface Subscriber {
    readonly id: SubscriberId;
    /** Lower-case hexadecimal SHA-256 of the bearer credential. */
    readonly credentialHash: string;
}

/** Bounds on one team's use. */
export interface TeamLimits {
    /** Requests of one subscriber that may wait in one entry instance's queue. */
    readonly queuedPerSubscriber: number;
    /** Requests of the whole team that may wait in one entry instance's queue. */
    readonly queuedPerTeam: number;
    /** The longest time from arrival to the last token, in milliseconds. */
    readonly requestMilliseconds: number;
    /** The most tokens one answer may have. */
    readonly maximumTokens: number;
}

/** One team as its operators set it out. */
export interface Team {
    readonly id: TeamId;
    /** Weight of the team's claim on shared capacity, above zero. */
    readonly share: number;
    /** Requests of a lower rank number go first; 0 is the first rank. */
    readonly rank: number;
    readonly models: readonly string[];
    readonly services: readonly string[];
    readonly limits: TeamLimits;
    readonly subscribers: readonly Subscriber[];
}
