/** Sends a message to the holder pipe of this process, or over gRPC to another instance. */
import {
    type HolderForward,
    type HolderForwardSessionEnd,
    HolderKind,
    type HolderRequest,
    type HolderSessionEnd,
} from "../model/holderMessages.ts";
import type { LeaseAssignment } from "../model/lease.ts";

export function toHolder(
    body: Omit<HolderRequest, "kind" | "origin">,
    holder: LeaseAssignment,
    instanceId: string,
): HolderRequest | HolderForward {
    return holder.instanceId === instanceId
        ? { ...body, kind: HolderKind.Request, origin: "" }
        : { ...body, kind: HolderKind.Forward, holderAddress: holder.instanceAddress };
}

export function toHolderSessionEnd(
    sessionId: string,
    databaseId: string,
    holder: LeaseAssignment,
    instanceId: string,
): HolderSessionEnd | HolderForwardSessionEnd {
    return holder.instanceId === instanceId
        ? { kind: HolderKind.SessionEnd, origin: "", sessionId, databaseId }
        : { kind: HolderKind.ForwardSessionEnd, holderAddress: holder.instanceAddress, sessionId, databaseId };
}
