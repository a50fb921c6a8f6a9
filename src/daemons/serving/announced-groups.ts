/** Recently opened groups: those that this process announces and those announced by the other entry instances. */
import type { Clock } from "../../contracts/clocks.js";
import type { PartLogger } from "../../links/logs.js";
import type { GroupAnnouncement } from "../../serving/group-announcements.js";
import { GroupAnnouncements } from "../../serving/group-announcements.js";

export interface AnnouncedGroupsOptions {
    /** Name of this process. */
    readonly name: string;
    readonly clock: Clock;
    /** Groups that this process opened recently. */
    readonly ownGroups: () => readonly GroupAnnouncement[];
    /** Called when the set of announced groups has changed. */
    readonly onChange: () => void;
    /** Called when this process has a new announcement for the others. */
    readonly onOwnChange: () => void;
    readonly log: PartLogger;
}

export class AnnouncedGroups {
    private readonly announcements = GroupAnnouncements.create();

    private constructor(private readonly options: AnnouncedGroupsOptions) {}

    public static create(options: AnnouncedGroupsOptions): AnnouncedGroups {
        return new AnnouncedGroups(options);
    }

    /** All current announcements, of this process and of the others. */
    public get all(): readonly GroupAnnouncement[] {
        return this.announcements.all;
    }

    /** Replaces the announcements of a process; returns true if they changed. */
    public apply(from: string, groups: readonly GroupAnnouncement[]): boolean {
        const { clock, log, onChange } = this.options;
        const hasChanged = this.announcements.apply(from, groups, clock.monotonicMilliseconds());
        if (hasChanged) {
            log.info("announced groups changed", { from, groups });
            onChange();
        }
        return hasChanged;
    }

    public tick(): void {
        const { name, clock, ownGroups: opened, onChange, onOwnChange: onOwnNews } = this.options;
        if (this.apply(name, opened())) {
            onOwnNews();
        }
        if (this.announcements.expire(clock.monotonicMilliseconds())) {
            onChange();
        }
    }
}
