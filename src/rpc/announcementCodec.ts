/** Announcements on the wire. */
import { type DatabaseAnnouncement, DatabaseRole, maximumSlots } from "../model/database.ts";
import { originPosition } from "../model/position.ts";
import { parseAddress } from "../model/socketAddress.ts";
import type { AnnounceRequest } from "./generated/announcement.ts";

/** Names the first field of a request that cannot be right and says what it must be; undefined when all can. */
export function validateAnnouncement(request: AnnounceRequest): string | undefined {
    const texts = ["databaseId", "groupId", "service", "dataCentre", "address"] as const;
    const empty = texts.find(field => request[field] === "");
    if (empty !== undefined) {
        return `${fieldName(empty)} must not be empty`;
    }
    if (parseAddress(request.address) === undefined) {
        return `address must be host:port, not "${request.address}"`;
    }
    const numbers = ["slots", "connectionLimit", "groupSize"] as const;
    const zero = numbers.find(field => request[field] < 1);
    if (zero !== undefined) {
        return `${fieldName(zero)} must be at least 1`;
    }
    if (request.slots > maximumSlots) {
        return `slots must be at most ${maximumSlots}`;
    }
    if (request.role !== DatabaseRole.Primary && request.role !== DatabaseRole.Replica) {
        return `role must be "${DatabaseRole.Primary}" or "${DatabaseRole.Replica}", not "${request.role}"`;
    }
    return request.position === undefined ? "position must be set" : undefined;
}

/** @param request a request without a fault */
export function decodeAnnouncement(request: AnnounceRequest): DatabaseAnnouncement {
    const { role, position } = request;
    return {
        databaseId: request.databaseId,
        groupId: request.groupId,
        service: request.service,
        dataCentre: request.dataCentre,
        address: request.address,
        slots: request.slots,
        connectionLimit: request.connectionLimit,
        groupSize: request.groupSize,
        departing: request.departing,
        role: role === DatabaseRole.Primary ? DatabaseRole.Primary : DatabaseRole.Replica,
        position: position ?? originPosition,
    };
}

/** The cluster's name is left empty inside heartbeats, whose peers are authenticated for the cluster as a whole. */
export function encodeAnnouncement(announcement: DatabaseAnnouncement): AnnounceRequest {
    return { cluster: "", ...announcement };
}

/** Name of a field in the protocol file. */
function fieldName(property: string): string {
    return property.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}
