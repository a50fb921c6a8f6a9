/** Teams and their subscribers. Source: the operators' configuration under `config/teams/<team>/`. */

export type TeamId = string;
export type SubscriberId = string;

/** A subscriber and its credential, of which only the hash is stored. */
export interface Subscriber {
    readonly id: SubscriberId;
    /** Lower-case hexadecimal SHA-256 of the bearer credential. */
    readonly credentialHash: string;
}

/** Usage limits of one team. */
export interface TeamLimits {
    /** Maximum number of queued requests of one subscriber at one entry instance. */
    readonly queuedPerSubscriber: number;
    /** Maximum number of queued requests of the whole team at one entry instance. */
    readonly queuedPerTeam: number;
    /** Maximum time from arrival to the last token, in milliseconds. */
    readonly requestMilliseconds: number;
    /** Maximum number of tokens in one answer. */
    readonly maximumTokens: number;
}

/** A team as configured by the operators. */
export interface Team {
    readonly id: TeamId;
    /** Weight of the team's fair share of the capacity; above zero. */
    readonly share: number;
    /** Priority rank: requests with a lower number go first; 0 is the highest priority. */
    readonly rank: number;
    readonly models: readonly string[];
    readonly services: readonly string[];
    readonly limits: TeamLimits;
    readonly subscribers: readonly Subscriber[];
}
