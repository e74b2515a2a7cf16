/** Handles operators' evacuation orders on the leader: each one is answered once its command is committed. */
import { match } from "ts-pattern";
import {
    CommandKind,
    ControlKind,
    type ControlLeaderChanged,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import {
    EvacuationAction,
    type EvacuationAnswered,
    EvacuationKind,
    type EvacuationLimitDue,
    type EvacuationOrdered,
    EvacuationResult,
} from "../model/evacuation.ts";
import { type Detached, FleetKind, type FrameReceived } from "../model/fleetMessages.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

/** Time after which an order that found no majority is answered as unavailable, as for a configuration document. */
const answerTimeoutMs = 1_500;

type OrdersInput =
    | EvacuationOrdered
    | EvacuationLimitDue
    | ControlProposalEnded
    | ControlLeaderChanged
    | FrameReceived
    | Detached;

interface PendingOrder {
    readonly proposalId: string;
    readonly order: EvacuationOrdered;
}

export interface EvacuationOrdersOptions {
    /** The data centres of the deployment; orders for others are refused. */
    readonly dataCentres: ReadonlySet<string>;
}

/** Orders are proposed in the order of their arrival and not merged, so that the log decides between opposite ones. */
export class EvacuationOrders implements Filter<OrdersInput, Message> {
    readonly step = "evacuation_orders";
    readonly accepts = [
        EvacuationKind.Ordered,
        EvacuationKind.LimitDue,
        ControlKind.ProposalEnded,
        ControlKind.LeaderChanged,
        FleetKind.FrameReceived,
        FleetKind.Detached,
    ];
    private readonly dataCentres: ReadonlySet<string>;
    private leading = false;
    private leaderAddress: string | undefined;
    /** Control members whose release does not know evacuations, by attachment; they would apply an order as invalid. */
    private readonly earlierMembers = new Map<string, string>();
    /** By request id. */
    private readonly pending = new Map<string, PendingOrder>();
    private nextProposal = 0;

    constructor({ dataCentres }: EvacuationOrdersOptions) {
        this.dataCentres = dataCentres;
    }

    process(message: OrdersInput, nowMs: number): readonly Message[] {
        return match<OrdersInput, readonly Message[]>(message)
            .with({ kind: EvacuationKind.Ordered }, order => this.propose(order, nowMs))
            .with(
                { kind: EvacuationKind.LimitDue },
                ({ requestId }) => this.end(requestId, EvacuationResult.Unavailable, "no majority answers"),
            )
            .with({ kind: ControlKind.ProposalEnded }, ended => this.endProposal(ended))
            .with({ kind: ControlKind.LeaderChanged }, changed => [changed, ...this.changeLeader(changed)])
            .with({ kind: FleetKind.FrameReceived }, received => {
                this.recordRelease(received);
                return [received];
            })
            .with({ kind: FleetKind.Detached }, detached => {
                this.earlierMembers.delete(detached.attachmentId);
                return [detached];
            })
            .exhaustive();
    }

    private propose(order: EvacuationOrdered, nowMs: number): readonly Message[] {
        const { requestId, dataCentre } = order;
        if (!this.dataCentres.has(dataCentre)) {
            const known = [...this.dataCentres].join(", ");
            return [answer(order, EvacuationResult.Refused, `there is no such data centre, only: ${known}`)];
        }
        if (!this.leading) {
            return this.leaderAddress === undefined
                ? [answer(order, EvacuationResult.Unavailable, "no leader is known")]
                : [answer(order, EvacuationResult.Redirect, "", this.leaderAddress)];
        }
        if (order.action === EvacuationAction.Begin && this.earlierMembers.size > 0) {
            const members = [...this.earlierMembers.values()].join(", ");
            return [answer(order, EvacuationResult.Unavailable, `these members must be updated first: ${members}`)];
        }
        const proposalId = `evacuation/${this.nextProposal++}`;
        this.pending.set(requestId, { proposalId, order });
        const due: EvacuationLimitDue = { kind: EvacuationKind.LimitDue, requestId };
        const proposal: ControlPropose = {
            kind: ControlKind.Propose,
            proposalId,
            operationId: "",
            command: toCommand(order),
        };
        return [setDeadline(deadlineKey(requestId), nowMs + answerTimeoutMs, due), proposal];
    }

    private recordRelease({ attachmentId, frame }: FrameReceived): void {
        if (frame.kind === "hello" && !frame.serves && frame.knowsEvacuations !== true) {
            this.earlierMembers.set(attachmentId, frame.instanceId);
        }
    }

    private endProposal(ended: ControlProposalEnded): readonly Message[] {
        const pending = [...this.pending.values()].find(({ proposalId }) => proposalId === ended.proposalId);
        if (pending === undefined) {
            // That of an order whose time was over has no other receiver.
            return ended.proposalId.startsWith("evacuation/") ? [] : [ended];
        }
        const { requestId } = pending.order;
        switch (ended.status) {
            case ProposalStatus.Applied:
                return this.end(requestId, EvacuationResult.Accepted, "");
            case ProposalStatus.Conflict:
                return this.end(requestId, EvacuationResult.Accepted, ended.detail);
            case ProposalStatus.Invalid:
                return this.end(requestId, EvacuationResult.Refused, ended.detail);
            default:
                return this.end(requestId, EvacuationResult.Unavailable, ended.detail);
        }
    }

    private changeLeader({ leading, leaderAddress }: ControlLeaderChanged): readonly Message[] {
        this.leading = leading;
        this.leaderAddress = leaderAddress;
        return leading
            ? []
            : [...this.pending.keys()].flatMap(requestId =>
                this.end(requestId, EvacuationResult.Unavailable, "this member leads no more")
            );
    }

    private end(requestId: string, result: EvacuationResult, detail: string): readonly Message[] {
        const pending = this.pending.get(requestId);
        if (pending === undefined) {
            return [];
        }
        this.pending.delete(requestId);
        return [clearDeadline(deadlineKey(requestId)), answer(pending.order, result, detail)];
    }
}

function toCommand(
    { action, dataCentre, orderedBy, orderedAtUnixMs }: EvacuationOrdered,
): ControlPropose["command"] {
    return action === EvacuationAction.Begin
        ? { kind: CommandKind.BeginEvacuation, evacuation: { dataCentre, orderedBy, orderedAtUnixMs } }
        : { kind: CommandKind.EndEvacuation, dataCentre };
}

function answer(
    order: EvacuationOrdered,
    result: EvacuationResult,
    detail: string,
    leaderAddress?: string,
): EvacuationAnswered {
    const { requestId, action, dataCentre, orderedBy } = order;
    return {
        kind: EvacuationKind.Answered,
        requestId,
        action,
        dataCentre,
        orderedBy,
        result,
        detail,
        leaderAddress,
    };
}

function deadlineKey(requestId: string): string {
    return `evacuation/${requestId}`;
}
