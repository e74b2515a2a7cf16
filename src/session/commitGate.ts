/**
 * Withholds acknowledgements of commits while the primary of a service is replaced. A commit that a replaced primary
 * acknowledges may be missing in the new one: a replica that started again after the choice can still confirm it.
 */
import type { LeaseChanged, PolicyApplied } from "../model/fleetMessages.ts";

export class CommitGate {
    /** Fencing token of the newest promotion that has asked this instance for its commits, by service. */
    private readonly closedFences = new Map<string, number>();
    private completedFences: PolicyApplied["completedFences"] = new Map();
    /** End of this instance's lease on acknowledgements; Infinity if it needs none. */
    private leaseUntilMs = Infinity;
    /** No leader has confirmed the policy in effect, so that none has told whether it grants leases. */
    private isUnconfirmed = false;
    private ordered: PolicyApplied["ordered"] = new Map();
    private orderedFences: NonNullable<PolicyApplied["orderedFences"]> = new Map();

    /** A promotion chooses a primary that holds the commits which this instance has acknowledged so far. */
    close(service: string, fence: number): void {
        this.closedFences.set(service, Math.max(fence, this.closedFences.get(service) ?? 0));
    }

    applyPolicy(
        { confirmed, ordered, orderedFences = new Map(), completedFences }: Pick<
            PolicyApplied,
            "confirmed" | "ordered" | "orderedFences" | "completedFences"
        >,
    ): void {
        this.isUnconfirmed = !confirmed;
        this.ordered = ordered;
        this.orderedFences = orderedFences;
        this.completedFences = completedFences;
    }

    applyLease({ untilMs }: Pick<LeaseChanged, "untilMs">): void {
        this.leaseUntilMs = untilMs;
    }

    /** Whether the control leader waits for this instance before it chooses a primary that may lack a commit. */
    hasLease(nowMs: number): boolean {
        return this.leaseUntilMs === Infinity ? !this.isUnconfirmed : nowMs < this.leaseUntilMs;
    }

    /** Whether a commit that the database has acknowledged is kept by the promotion that is under way, if there is one. */
    mayAcknowledge(service: string, databaseId: string): boolean {
        const closed = this.closedFences.get(service) ?? 0;
        const ordered = this.ordered.get(service);
        if (ordered !== undefined) {
            // The promotion that asked last may choose another database than an earlier order.
            return ordered === databaseId && (this.orderedFences.get(service) ?? 0) >= closed;
        }
        return closed === 0 || (this.completedFences.get(service) ?? 0) >= closed;
    }
}
