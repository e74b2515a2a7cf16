/** Builds messages to holders, addressed to the holder pipe of this process or, over gRPC, to another instance. */
import {
    type HolderForward,
    type HolderForwardSessionEnd,
    HolderKind,
    type HolderRequest,
    type HolderSessionEnd,
} from "../model/holderMessages.ts";
import type { LeaseAssignment } from "../model/lease.ts";
import { StatementKind } from "../model/statement.ts";
import { RepeatPolicy } from "../model/workClass.ts";
import type { PendingRequest } from "./pendingRequests.ts";
import type { AdmittedRequest } from "./requestMessages.ts";
import type { SessionState } from "./sessionState.ts";

/** Builds the part of a holder request that is the same for local and remote holders. */
export function buildHolderRequestBody(
    { request, requestId, floor }: PendingRequest,
    databaseId: string,
    session: SessionState,
    sessionId: string,
): Omit<HolderRequest, "kind" | "origin"> {
    const { callerId, workspace, workClass, statementKind, text, deadlineMs, attributes } = request;
    return {
        requestId,
        sessionId,
        databaseId,
        callerId,
        workspace,
        workClass,
        statementKind,
        text,
        floor,
        deadlineMs,
        idempotencyId: statementKind === StatementKind.Read ? undefined : attributes.requestId,
        repeatable: isRepeatable(request),
        pinned: session.pinnedDatabaseId !== undefined,
    };
}

/** Returns whether a statement may be sent again after an attempt with an unknown outcome. */
export function isRepeatable({ statementKind, targets }: AdmittedRequest): boolean {
    return statementKind === StatementKind.Read && targets.repeat === RepeatPolicy.Reads;
}

export function buildHolderRequest(
    body: Omit<HolderRequest, "kind" | "origin">,
    holder: LeaseAssignment,
    instanceId: string,
): HolderRequest | HolderForward {
    return holder.instanceId === instanceId
        ? { ...body, kind: HolderKind.Request, origin: "" }
        : { ...body, kind: HolderKind.Forward, holderAddress: holder.instanceAddress };
}

export function buildHolderSessionEnd(
    sessionId: string,
    databaseId: string,
    holder: Pick<LeaseAssignment, "instanceId" | "instanceAddress">,
    instanceId: string,
): HolderSessionEnd | HolderForwardSessionEnd {
    return holder.instanceId === instanceId
        ? { kind: HolderKind.SessionEnd, origin: "", sessionId, databaseId }
        : { kind: HolderKind.ForwardSessionEnd, holderAddress: holder.instanceAddress, sessionId, databaseId };
}
