/** Withholds the first policy of a process until a control leader confirms that it is up to date. */
import { match } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import {
    type Detached,
    type FleetFrame,
    FleetKind,
    type FleetTimer,
    type FrameReceived,
    type PolicyApplied,
} from "../model/fleetMessages.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

/**
 * Time after which an unconfirmed policy takes effect, so that a data centre that is disconnected from the leader keeps
 * serving. Callers time out after 2 s, so a caller that waits during a restart does not encounter an unconfirmed
 * policy.
 */
const confirmationWaitMs = 2_000;

const confirmationKey = "fleet.confirmation";

type ConfirmationInput = ConfigurationApplied | FrameReceived | Detached | PolicyApplied | FleetTimer;

interface Leader {
    readonly term: number;
    /** First version that the leader reported; it includes all changes acknowledged before this process started. */
    readonly configurationVersion: number;
}

/**
 * A member publishes the configuration that it has, also while it catches up or is partitioned. Applied versions never
 * decrease, so an outdated version can only take effect in a process that has none yet. A leader has every change that
 * was acknowledged before it claimed to be the leader.
 */
export class PolicyConfirmation implements Filter<ConfirmationInput, Message> {
    readonly step = "policy_confirmation";
    readonly accepts = [
        ClusterKind.ConfigurationApplied,
        FleetKind.FrameReceived,
        FleetKind.Detached,
        FleetKind.PolicyApplied,
        FleetKind.ConfirmationDue,
    ];
    /** Members that claim to be the leader, by attachment. */
    private readonly leaders = new Map<string, Leader>();
    private version = 0;
    private latest: PolicyApplied | undefined;
    /** Policies that this filter emitted; each message that leaves the pipe comes back to it as an event. */
    private readonly emitted = new WeakSet<PolicyApplied>();
    private confirmed = false;
    private waitEnded = false;

    process(message: ConfirmationInput, nowMs: number): readonly Message[] {
        return match<ConfirmationInput, readonly Message[]>(message)
            .with({ kind: ClusterKind.ConfigurationApplied }, matched => {
                this.version = matched.configuration.version;
                return [matched];
            })
            .with({ kind: FleetKind.FrameReceived }, matched => {
                this.updateLeaders(matched.attachmentId, matched.frame);
                return [matched, ...this.confirm()];
            })
            .with({ kind: FleetKind.Detached }, matched => {
                this.leaders.delete(matched.attachmentId);
                return [matched];
            })
            .with({ kind: FleetKind.PolicyApplied }, matched => this.apply(matched, nowMs))
            .otherwise(() => this.endWait());
    }

    private updateLeaders(attachmentId: string, frame: FleetFrame): void {
        if (frame.kind !== "status") {
            return;
        }
        const { leading, term, configurationVersion } = frame;
        if (!leading) {
            this.leaders.delete(attachmentId);
        }
        else if (this.leaders.get(attachmentId)?.term !== term) {
            this.leaders.set(attachmentId, { term, configurationVersion });
        }
    }

    private apply(policy: PolicyApplied, nowMs: number): readonly Message[] {
        if (this.emitted.has(policy)) {
            return [policy];
        }
        if (this.confirmed) {
            return [this.emit({ ...policy, confirmed: true })];
        }
        const first = this.latest === undefined;
        this.latest = policy;
        const confirmed = this.confirm();
        if (confirmed.length > 0) {
            return confirmed;
        }
        const timer = setDeadline(confirmationKey, nowMs + confirmationWaitMs, { kind: FleetKind.ConfirmationDue });
        return [...first ? [timer] : [], ...this.waitEnded ? [this.emit(policy)] : []];
    }

    /** Emits the latest policy once it is at least as new as the leader's. */
    private confirm(): readonly Message[] {
        const { latest } = this;
        if (this.confirmed || latest === undefined) {
            return [];
        }
        const [leader] = [...this.leaders.values()].sort((left, right) =>
            right.term - left.term || left.configurationVersion - right.configurationVersion
        );
        if (leader === undefined || this.version < leader.configurationVersion) {
            return [];
        }
        this.confirmed = true;
        return [clearDeadline(confirmationKey), this.emit({ ...latest, confirmed: true })];
    }

    private endWait(): readonly Message[] {
        this.waitEnded = true;
        return this.latest === undefined ? [] : [this.emit(this.latest)];
    }

    private emit(policy: PolicyApplied): PolicyApplied {
        this.emitted.add(policy);
        return policy;
    }
}
