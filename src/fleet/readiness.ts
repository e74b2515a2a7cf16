/**
 * Computes readiness: an instance accepts new callers once it has a policy and knows a database, until it shuts down.
 */
import {
    type DatabaseChanged,
    type FleetDrainStarted,
    FleetKind,
    type PolicyApplied,
    type ReadinessChanged,
} from "../model/fleetMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

type ReadinessInput = PolicyApplied | DatabaseChanged | FleetDrainStarted;

export class Readiness implements Filter<ReadinessInput, Message> {
    readonly step = "readiness";
    readonly accepts = [FleetKind.PolicyApplied, FleetKind.DatabaseChanged, FleetKind.DrainStarted];
    private hasPolicy = false;
    private hasDatabase = false;
    private draining = false;
    private published = false;

    process(message: ReadinessInput): readonly Message[] {
        switch (message.kind) {
            case FleetKind.PolicyApplied:
                this.hasPolicy ||= message.policy.version > 0;
                break;
            case FleetKind.DatabaseChanged:
                this.hasDatabase = true;
                break;
            case FleetKind.DrainStarted:
                this.draining = true;
                break;
        }
        const ready = this.hasPolicy && this.hasDatabase && !this.draining;
        if (ready === this.published) {
            return [message];
        }
        this.published = ready;
        const changed: ReadinessChanged = { kind: FleetKind.ReadinessChanged, ready };
        return [message, changed];
    }
}
