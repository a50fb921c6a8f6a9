/** A binary heap whose items can be reordered or removed in logarithmic time. */

/** An item of an indexed heap. Only the heap writes `position`, which is -1 while the item is in no heap. */
export interface HeapItem {
    position: number;
}

/** Priority queue whose head is the first item by `isBefore`. An item may be in one heap at most. */
export class IndexedHeap<T extends HeapItem> {
    private readonly items: T[] = [];

    private constructor(private readonly isBefore: (left: T, right: T) => boolean) {}

    public static create<T extends HeapItem>(isBefore: (left: T, right: T) => boolean): IndexedHeap<T> {
        return new IndexedHeap(isBefore);
    }

    public get size(): number {
        return this.items.length;
    }

    public peek(): T | undefined {
        return this.items[0];
    }

    /** Adds an item, or restores its position after its sort key has changed. */
    public put(item: T): void {
        if (item.position < 0) {
            item.position = this.items.length;
            this.items.push(item);
        }
        this.restore(item);
    }

    /** Restores the position of an item whose sort key has changed; an item that is not in the heap is ignored. */
    public update(item: T): void {
        if (item.position >= 0) {
            this.restore(item);
        }
    }

    public remove(item: T): void {
        const hole = item.position;
        if (hole < 0) {
            return;
        }
        item.position = -1;
        const last = this.items.pop()!;
        if (last === item) {
            return;
        }
        this.items[hole] = last;
        last.position = hole;
        this.restore(last);
    }

    private restore(item: T): void {
        this.siftUp(item);
        this.siftDown(item);
    }

    private siftUp(item: T): void {
        while (item.position > 0) {
            const parent = this.items[(item.position - 1) >> 1]!;
            if (!this.isBefore(item, parent)) {
                return;
            }
            this.swap(item, parent);
        }
    }

    private siftDown(item: T): void {
        for (;;) {
            const left = this.items[item.position * 2 + 1];
            const right = this.items[item.position * 2 + 2];
            const child = right !== undefined && this.isBefore(right, left!) ? right : left;
            if (child === undefined || !this.isBefore(child, item)) {
                return;
            }
            this.swap(item, child);
        }
    }

    private swap(left: T, right: T): void {
        const position = left.position;
        left.position = right.position;
        right.position = position;
        this.items[left.position] = left;
        this.items[right.position] = right;
    }
}
