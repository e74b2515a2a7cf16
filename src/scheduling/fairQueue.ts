/** Deficit round robin over the workspaces of one class of statements. */

interface Entry<Item> {
    readonly item: Item;
    readonly costMs: number;
}

interface Flow<Item> {
    readonly workspace: string;
    entries: Entry<Item>[];
    totalCostMs: number;
    deficitMs: number;
    /** Whether the quantum of the current turn was already added to the deficit. */
    turnStarted: boolean;
}

/** Service time that a workspace gets per turn; small, so that the others wait only a few milliseconds. */
const defaultQuantumMs = 4;

export class FairQueue<Item> {
    private readonly flows = new Map<string, Flow<Item>>();
    /** Flows with waiting items; the first one has its turn. */
    private readonly rotation: Flow<Item>[] = [];
    private readonly quantumMs: number;
    private sumMs = 0;

    /** @param quantumMs service time that a workspace gets per turn */
    constructor(quantumMs = defaultQuantumMs) {
        this.quantumMs = quantumMs;
    }

    /** @param costMs expected service time, above zero */
    enqueue(workspace: string, item: Item, costMs: number): void {
        let flow = this.flows.get(workspace);
        if (flow === undefined) {
            flow = { workspace, entries: [], totalCostMs: 0, deficitMs: 0, turnStarted: false };
            this.flows.set(workspace, flow);
            this.rotation.push(flow);
        }
        flow.entries.push({ item, costMs });
        flow.totalCostMs += costMs;
        this.sumMs += costMs;
    }

    /** Returns the item that `dequeue` would return. */
    peek(): Item | undefined {
        for (let flow = this.rotation[0]; flow !== undefined; flow = this.rotation[0]) {
            if (!flow.turnStarted) {
                flow.turnStarted = true;
                flow.deficitMs += this.quantumMs;
            }
            const head = flow.entries[0]!;
            if (head.costMs <= flow.deficitMs) {
                return head.item;
            }
            flow.turnStarted = false;
            this.rotation.push(this.rotation.shift()!);
        }
        return undefined;
    }

    dequeue(): Item | undefined {
        return this.dequeueFirst(() => true);
    }

    /**
     * Removes and returns the next item that can start. A workspace whose first item cannot start keeps its turn.
     * @param canStart called at most once for the first item of each workspace
     */
    dequeueFirst(canStart: (item: Item) => boolean): Item | undefined {
        const blocked: Flow<Item>[] = [];
        let found: Item | undefined;
        for (let item = this.peek(); item !== undefined; item = this.peek()) {
            const flow = this.rotation[0]!;
            if (canStart(item)) {
                found = item;
                flow.deficitMs -= flow.entries[0]!.costMs;
                this.removeAt(flow, 0);
                break;
            }
            blocked.push(this.rotation.shift()!);
        }
        this.rotation.unshift(...blocked);
        return found;
    }

    remove(workspace: string, item: Item): void {
        const flow = this.flows.get(workspace);
        const index = flow?.entries.findIndex(entry => entry.item === item) ?? -1;
        if (flow !== undefined && index >= 0) {
            this.removeAt(flow, index);
        }
    }

    /** Removes and returns the first items of all workspaces for which `isWanted` is true. */
    removeHeads(isWanted: (item: Item) => boolean): readonly Item[] {
        const removed: Item[] = [];
        for (const flow of this.flows.values()) {
            while (flow.entries.length > 0 && isWanted(flow.entries[0]!.item)) {
                removed.push(flow.entries[0]!.item);
                this.removeAt(flow, 0);
            }
        }
        return removed;
    }

    /** Returns the newest item of the workspace with the most service time queued. */
    newestOfLargest(): Item | undefined {
        let largest: Flow<Item> | undefined;
        for (const flow of this.rotation) {
            if (largest === undefined || flow.totalCostMs > largest.totalCostMs) {
                largest = flow;
            }
        }
        return largest?.entries.at(-1)?.item;
    }

    /**
     * Estimates the service time of all items that would run before a new item of `workspace`.
     * @param costMs expected service time of the new item, if it is known
     */
    costAheadMs(workspace: string, costMs = 0): number {
        return this.costBeforeMs(workspace, this.flows.get(workspace)?.totalCostMs ?? 0, costMs);
    }

    /** The same for the newest item of `workspace`, which is queued with `costMs`. */
    costAheadOfNewestMs(workspace: string, costMs: number): number {
        const totalMs = this.flows.get(workspace)?.totalCostMs ?? 0;
        return this.costBeforeMs(workspace, Math.max(0, totalMs - costMs), costMs);
    }

    /** @param ownMs service time of the items of `workspace` that run before the item */
    private costBeforeMs(workspace: string, ownMs: number, costMs: number): number {
        const shareMs = ownMs + Math.max(this.quantumMs, costMs);
        let sumMs = ownMs;
        for (const flow of this.rotation) {
            if (flow.workspace !== workspace) {
                sumMs += Math.min(flow.totalCostMs, shareMs);
            }
        }
        return sumMs;
    }

    /** Service time that a workspace has queued. */
    costOfMs(workspace: string): number {
        return this.flows.get(workspace)?.totalCostMs ?? 0;
    }

    get workspaceCount(): number {
        return this.rotation.length;
    }

    get totalCostMs(): number {
        return this.sumMs;
    }

    get isEmpty(): boolean {
        return this.rotation.length === 0;
    }

    get items(): readonly Item[] {
        return this.rotation.flatMap(flow => flow.entries.map(entry => entry.item));
    }

    private removeAt(flow: Flow<Item>, index: number): void {
        const [entry] = flow.entries.splice(index, 1);
        flow.totalCostMs -= entry!.costMs;
        this.sumMs -= entry!.costMs;
        if (flow.entries.length === 0) {
            this.flows.delete(flow.workspace);
            this.rotation.splice(this.rotation.indexOf(flow), 1);
        }
        if (this.rotation.length === 0) {
            // Rounding errors of the differences must not add up.
            this.sumMs = 0;
        }
    }
}
