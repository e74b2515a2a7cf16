/** Decides by the policy in effect whether a caller has access, and whether a refusal may be final. */
import { FleetKind, type PolicyApplied, type PolicyProofNeeded, type PolicyProved } from "../model/fleetMessages.ts";
import { StatementFault } from "../model/sessionStatement.ts";
import { emptyTrafficPolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";
import { type Access, type AccessFault, authorize, isFault } from "./authorization.ts";
import { retryText } from "./taskMessages.ts";

/**
 * Age up to which a proof is used again. With the wait for a proof, a refusal rests on a configuration that was the newest
 * less than 3 s ago, the time in which a new one must be in force.
 */
const proofValidityMs = 1_000;

/** Retry delay for callers that an unproved configuration does not admit; about as long as a leader election. */
const unprovedRetryMs = 500;

export class PolicyAccess {
    private current: TrafficPolicy = emptyTrafficPolicy;
    private newerIsUndecodable = false;
    /** Time at which the policy in effect was the newest one. */
    private provedAtMs = -Infinity;

    get policy(): TrafficPolicy {
        return this.current;
    }

    /** Whether the policy is that of an earlier configuration because the newest one cannot be decoded. */
    get isOutdated(): boolean {
        return this.newerIsUndecodable;
    }

    get hasPolicy(): boolean {
        return this.current.version > 0;
    }

    apply(message: PolicyApplied | PolicyProved): void {
        if (message.kind === FleetKind.PolicyApplied) {
            this.current = message.policy;
            this.newerIsUndecodable = message.outdated === true;
        }
        else {
            this.provedAtMs = message.provedAtMs;
        }
    }

    authorize({ database, key }: { readonly database: string; readonly key: string; }): Access | AccessFault {
        return authorize(this.current, database, key);
    }

    /** Whether the policy was the newest one so recently that what it lacks may be refused for good. */
    isProved(nowMs: number): boolean {
        return this.hasPolicy && this.proofAgeMs(nowMs) <= proofValidityMs;
    }

    proofAgeMs(nowMs: number): number {
        return nowMs - this.provedAtMs;
    }

    /** The fault to answer with while the policy is not proved: the caller may come back. */
    unprovedFault(opening: { readonly database: string; readonly key: string; }): AccessFault {
        const access = this.authorize(opening);
        const reason = !this.hasPolicy || !isFault(access)
            ? "no configuration yet"
            : `${access.detail}, which is not confirmed`;
        return { fault: StatementFault.Busy, detail: retryText(reason, unprovedRetryMs) };
    }
}

export const proofNeeded: PolicyProofNeeded = { kind: FleetKind.PolicyProofNeeded };
