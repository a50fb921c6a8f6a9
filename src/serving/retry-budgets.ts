/**
 * Retry budgets of all services at one entry instance: its share of the retries that all entry instances may make
 * together.
 */
import type { EntryShares } from "./entry-shares.js";
import type { RetryWindowOptions } from "./retry-window.js";
import { RetryWindow } from "./retry-window.js";

export class RetryBudgets {
    private readonly windows = new Map<string, RetryWindow>();

    private constructor(
        private settings: RetryWindowOptions,
        private readonly shares: EntryShares,
        private readonly startedAt: number,
    ) {}

    /** `startedAt`: local monotonic milliseconds at which this process began to serve. */
    public static create(settings: RetryWindowOptions, shares: EntryShares, startedAt: number): RetryBudgets {
        return new RetryBudgets(settings, shares, startedAt);
    }

    public windowOf(service: string): RetryWindow {
        let window = this.windows.get(service);
        if (window === undefined) {
            window = RetryWindow.create(this.ownOptions(), this.startedAt);
            this.windows.set(service, window);
        }
        return window;
    }

    /** Applies changed settings; retries already made still count. */
    public applySettings(settings: RetryWindowOptions): void {
        this.settings = settings;
        this.applyEntryCount();
    }

    /** Applies a changed number of entry instances. */
    public applyEntryCount(): void {
        const options = this.ownOptions();
        this.windows.forEach(window => window.setOptions(options));
    }

    /** This process's share of the fixed allowance; zero until the number of entry instances is known. */
    private ownOptions(): RetryWindowOptions {
        const { isSettled, count } = this.shares;
        return { ...this.settings, allowance: isSettled ? this.settings.allowance / count : 0 };
    }
}
