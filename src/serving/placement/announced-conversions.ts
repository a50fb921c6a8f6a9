/** Conversions in progress, as the holders of the other failure domains' placement leases announce them. */
import type { RunningConversion } from "./conversion-plan.js";

interface Announcement {
    readonly conversions: readonly RunningConversion[];
    /** Local monotonic milliseconds. */
    readonly expiresAt: number;
}

export class AnnouncedConversions {
    private readonly byAnnouncer = new Map<string, Announcement>();

    private constructor() {}

    public static create(): AnnouncedConversions {
        return new AnnouncedConversions();
    }

    /** Replaces the conversions of an entry instance; they expire at `expiresAt` (local monotonic milliseconds). */
    public apply(announcer: string, conversions: readonly RunningConversion[], expiresAt: number): void {
        if (conversions.length === 0) {
            this.byAnnouncer.delete(announcer);
        } else {
            this.byAnnouncer.set(announcer, { conversions, expiresAt });
        }
    }

    public current(now: number): readonly RunningConversion[] {
        return [...this.byAnnouncer.values()].flatMap(({ conversions, expiresAt }) =>
            now < expiresAt ? conversions : [],
        );
    }
}
