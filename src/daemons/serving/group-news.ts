/** Recently opened groups: those that this process announces and those announced by the other entry instances. */
import type { Clock } from "../../contracts/clocks.js";
import type { PartLog } from "../../links/logs.js";
import type { GroupAnnouncement } from "../../serving/group-announcements.js";
import { GroupAnnouncements } from "../../serving/group-announcements.js";

export interface GroupNewsOptions {
    /** Name of this process. */
    readonly name: string;
    readonly clock: Clock;
    /** Groups that this process opened recently. */
    readonly opened: () => readonly GroupAnnouncement[];
    /** Called when the set of announced groups has changed. */
    readonly onChange: () => void;
    /** Called when this process has a new announcement for the others. */
    readonly onOwnNews: () => void;
    readonly log: PartLog;
}

export class GroupNews {
    private readonly announcements = GroupAnnouncements.create();

    private constructor(private readonly options: GroupNewsOptions) {}

    public static create(options: GroupNewsOptions): GroupNews {
        return new GroupNews(options);
    }

    /** All current announcements, of this process and of the others. */
    public get all(): readonly GroupAnnouncement[] {
        return this.announcements.all;
    }

    /** Replaces the announcements of a process; returns true if they changed. */
    public hear(from: string, groups: readonly GroupAnnouncement[]): boolean {
        const { clock, log, onChange } = this.options;
        const hasChanged = this.announcements.apply(from, groups, clock.monotonicMilliseconds());
        if (hasChanged) {
            log.info("announced groups changed", { from, groups });
            onChange();
        }
        return hasChanged;
    }

    public tick(): void {
        const { name, clock, opened, onChange, onOwnNews } = this.options;
        if (this.hear(name, opened())) {
            onOwnNews();
        }
        if (this.announcements.expire(clock.monotonicMilliseconds())) {
            onChange();
        }
    }
}
