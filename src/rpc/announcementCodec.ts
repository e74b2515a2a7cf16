/** Validates, encodes and decodes the announcements of databases. */
import { type DatabaseAnnouncement, DatabaseRole, maximumSlots } from "../model/database.ts";
import { isObjectName, objectNameDescription } from "../model/objectName.ts";
import { originPosition } from "../model/position.ts";
import { parseAddress } from "../model/socketAddress.ts";
import type { AnnounceRequest } from "./generated/announcement.ts";

/** Describes the first invalid field of a request; undefined if the request is valid. */
export function validateAnnouncement(request: AnnounceRequest): string | undefined {
    const textFields = ["databaseId", "groupId", "service", "dataCentre", "address"] as const;
    const emptyField = textFields.find(field => request[field] === "");
    if (emptyField !== undefined) {
        return `${protoFieldName(emptyField)} must not be empty`;
    }
    // The control state refuses a group in which any of these is not a name.
    const nameFields = ["databaseId", "groupId", "service"] as const;
    const unnamedField = nameFields.find(field => !isObjectName(request[field]));
    if (unnamedField !== undefined) {
        return `${protoFieldName(unnamedField)} must have ${objectNameDescription}`;
    }
    if (parseAddress(request.address) === undefined) {
        return `address must be host:port, not "${request.address}"`;
    }
    const positiveFields = ["slots", "connectionLimit", "groupSize"] as const;
    const zeroField = positiveFields.find(field => request[field] < 1);
    if (zeroField !== undefined) {
        return `${protoFieldName(zeroField)} must be at least 1`;
    }
    if (request.slots > maximumSlots) {
        return `slots must be at most ${maximumSlots}`;
    }
    if (request.role !== DatabaseRole.Primary && request.role !== DatabaseRole.Replica) {
        return `role must be "${DatabaseRole.Primary}" or "${DatabaseRole.Replica}", not "${request.role}"`;
    }
    return request.position === undefined ? "position must be set" : undefined;
}

/** @param request must be valid according to `validateAnnouncement` */
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

/** The cluster name stays empty: announcements are sent inside heartbeats, which are authenticated for the cluster. */
export function encodeAnnouncement(announcement: DatabaseAnnouncement): AnnounceRequest {
    return { cluster: "", ...announcement };
}

/** Converts a property name to the field name in the proto file. */
export function protoFieldName(property: string): string {
    return property.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}
