/** Retry budgets of all services at one entry instance: its part of what all entry instances may repeat together. */
import type { EntryShares } from "./entry-shares.js";
import type { RetryWindowOptions } from "./retry-windows.js";
import { RetryWindow } from "./retry-windows.js";

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

    public of(service: string): RetryWindow {
        let window = this.windows.get(service);
        if (window === undefined) {
            window = RetryWindow.create(this.ownPart(), this.startedAt);
            this.windows.set(service, window);
        }
        return window;
    }

    /** Puts changed settings in force; what was spent stays spent. */
    public applySettings(settings: RetryWindowOptions): void {
        this.settings = settings;
        this.refresh();
    }

    /** Takes a changed number of entry instances over. */
    public refresh(): void {
        const options = this.ownPart();
        this.windows.forEach(window => window.setOptions(options));
    }

    /** This process's part of the fixed allowance; none until it knows with whom it shares. */
    private ownPart(): RetryWindowOptions {
        const { isSettled, count } = this.shares;
        return { ...this.settings, allowance: isSettled ? this.settings.allowance / count : 0 };
    }
}
