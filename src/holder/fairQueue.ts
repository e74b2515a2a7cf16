/** Deficit round robin over the workspaces of one work class. */

interface Entry<Item> {
    readonly item: Item;
    readonly costMs: number;
}

interface Flow<Item> {
    readonly workspace: string;
    entries: Entry<Item>[];
    totalCostMs: number;
    deficitMs: number;
    /** The quantum of the current turn was added. */
    turnStarted: boolean;
}

/** Service time that a workspace gets per turn; small enough that others wait only a few milliseconds for theirs. */
const quantumMs = 4;

export class FairQueue<Item> {
    private readonly flows = new Map<string, Flow<Item>>();
    /** Workspaces with waiting items, the one whose turn it is first. */
    private readonly rotation: Flow<Item>[] = [];

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
    }

    /** The item that `dequeue` would return. */
    peek(): Item | undefined {
        for (let flow = this.rotation[0]; flow !== undefined; flow = this.rotation[0]) {
            if (!flow.turnStarted) {
                flow.turnStarted = true;
                flow.deficitMs += quantumMs;
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
        const item = this.peek();
        const flow = this.rotation[0];
        if (item !== undefined && flow !== undefined) {
            flow.deficitMs -= flow.entries[0]!.costMs;
            this.removeAt(flow, 0);
        }
        return item;
    }

    remove(workspace: string, item: Item): void {
        const flow = this.flows.get(workspace);
        const index = flow?.entries.findIndex(entry => entry.item === item) ?? -1;
        if (flow !== undefined && index >= 0) {
            this.removeAt(flow, index);
        }
    }

    /** Service time that is due before a new item of `workspace`, given that the others get their turns meanwhile. */
    costAheadMs(workspace: string): number {
        const ownMs = this.flows.get(workspace)?.totalCostMs ?? 0;
        return this.rotation
            .filter(flow => flow.workspace !== workspace)
            .reduce((sumMs, flow) => sumMs + Math.min(flow.totalCostMs, ownMs + quantumMs), ownMs);
    }

    get totalCostMs(): number {
        return this.rotation.reduce((sumMs, flow) => sumMs + flow.totalCostMs, 0);
    }

    get items(): readonly Item[] {
        return this.rotation.flatMap(flow => flow.entries.map(entry => entry.item));
    }

    private removeAt(flow: Flow<Item>, index: number): void {
        const [entry] = flow.entries.splice(index, 1);
        flow.totalCostMs -= entry!.costMs;
        if (flow.entries.length === 0) {
            this.flows.delete(flow.workspace);
            this.rotation.splice(this.rotation.indexOf(flow), 1);
        }
    }
}
