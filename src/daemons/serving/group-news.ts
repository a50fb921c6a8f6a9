/** Groups that placers opened lately: what this process tells of its own, and what it hears from the others. */
import type { Clock } from "../../contracts/clocks.js";
import type { PartLog } from "../../links/logs.js";
import type { GroupAnnouncement } from "../../serving/group-announcements.js";
import { GroupAnnouncements } from "../../serving/group-announcements.js";

export interface GroupNewsOptions {
    /** Name of this process. */
    readonly name: string;
    readonly clock: Clock;
    /** Groups that this process opened lately. */
    readonly opened: () => readonly GroupAnnouncement[];
    /** Called when what is announced has changed. */
    readonly onChange: () => void;
    /** Called when this process has something new to tell. */
    readonly onOwnNews: () => void;
    readonly log: PartLog;
}

export class GroupNews {
    private readonly announcements = GroupAnnouncements.create();

    private constructor(private readonly options: GroupNewsOptions) {}

    public static create(options: GroupNewsOptions): GroupNews {
        return new GroupNews(options);
    }

    /** All that is announced at present, by this process and by others. */
    public get all(): readonly GroupAnnouncement[] {
        return this.announcements.all;
    }

    /** Takes all that a process announces now; true if that is news. */
    public hear(from: string, groups: readonly GroupAnnouncement[]): boolean {
        const { clock, log, onChange } = this.options;
        const isNews = this.announcements.hear(from, groups, clock.monotonicMilliseconds());
        if (isNews) {
            log.info("opened groups told", { from, groups });
            onChange();
        }
        return isNews;
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
