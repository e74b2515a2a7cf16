/** Validates, encodes and decodes heartbeats and their answers. */
import {
    type DatabaseOrder,
    type DirectoryEntry,
    type Heartbeat,
    type HeartbeatAnswer,
    type LeaseReference,
    OrderKind,
} from "../model/healthMessages.ts";
import { ResourceKind } from "../model/lease.ts";
import { isObjectName, objectNameDescription } from "../model/objectName.ts";
import { originPosition } from "../model/position.ts";
import { decodeAnnouncement, encodeAnnouncement, protoFieldName, validateAnnouncement } from "./announcementCodec.ts";
import type {
    DatabaseOrder as WireOrder,
    DirectoryEntry as WireEntry,
    HeartbeatRequest,
    HeartbeatResponse,
    LeaseReference as WireLease,
} from "./generated/health.ts";

export function encodeHeartbeat(heartbeat: Heartbeat): HeartbeatRequest {
    return {
        ...heartbeat,
        heard: heartbeat.heard.map(({ announcement, ageMs }) => ({
            announcement: encodeAnnouncement(announcement),
            ageMs: roundMs(ageMs),
        })),
        heardUnchanged: heartbeat.heardUnchanged.map(({ databaseId, ageMs }) => ({
            databaseId,
            ageMs: roundMs(ageMs),
        })),
        leases: [...heartbeat.leases],
        givenBack: [...heartbeat.givenBack],
        held: [...heartbeat.held],
        orderResults: [...heartbeat.orderResults],
        demands: [...heartbeat.demands],
    };
}

/** Describes the first invalid field of a heartbeat; undefined if the heartbeat is valid. */
export function validateHeartbeat(request: HeartbeatRequest): string | undefined {
    const nameFields = ["instanceId", "dataCentre", "incarnation"] as const;
    const unnamedField = nameFields.find(field => !isObjectName(request[field]));
    if (unnamedField !== undefined) {
        return `${protoFieldName(unnamedField)} must have ${objectNameDescription}`;
    }
    if (request.address === "") {
        return "address must not be empty";
    }
    const index = request.demands.findIndex(({ wantedPerSecond }) =>
        !(wantedPerSecond >= 0 && wantedPerSecond < Infinity)
    );
    return index < 0 ? undefined : `demands[${index}]: wanted_per_second must be a finite number of at least 0`;
}

/**
 * Leaves out announcements that are not valid: an instance of an earlier release may pass on what this one refuses, and
 * without an answer to its heartbeats it would lose its leases.
 * @param request must be valid according to `validateHeartbeat`
 */
export function decodeHeartbeat(request: HeartbeatRequest): Heartbeat {
    return {
        ...request,
        heard: request.heard.flatMap(({ announcement, ageMs }) =>
            announcement === undefined || validateAnnouncement(announcement) !== undefined
                ? []
                : [{ announcement: decodeAnnouncement(announcement), ageMs }]
        ),
        leases: request.leases.map(decodeLease),
        givenBack: request.givenBack.map(decodeLease),
        held: request.held.map(report => ({ ...report, position: report.position ?? originPosition })),
        orderResults: request.orderResults.map(({ orderId, failure }) => ({ orderId, failure })),
        demands: request.demands.map(demand => ({ ...demand, dataCentre: request.dataCentre })),
    };
}

export function encodeHeartbeatAnswer(answer: HeartbeatAnswer): HeartbeatResponse {
    return {
        ...answer,
        renewed: [...answer.renewed],
        directory: answer.directory.map(({ announcement, available }) => ({
            announcement: encodeAnnouncement(announcement),
            available,
        })),
        asks: [...answer.asks],
        releases: [...answer.releases],
        orders: answer.orders.map(encodeOrder),
        resend: [...answer.resend],
        nextHeartbeatMs: roundMs(answer.nextHeartbeatMs),
    };
}

export function decodeHeartbeatAnswer(response: HeartbeatResponse): HeartbeatAnswer {
    return {
        ...response,
        leaderAddress: response.leaderAddress,
        renewed: response.renewed.map(decodeLease),
        directory: response.directory.flatMap(decodeDirectoryEntry),
        orders: response.orders.map(decodeOrder),
    };
}

function encodeOrder({ orderId, databaseId, order }: DatabaseOrder): WireOrder {
    const primaryAddress = order.kind === OrderKind.Follow ? order.primaryAddress : undefined;
    return { orderId, databaseId, term: order.term, primaryAddress };
}

function decodeOrder({ orderId, databaseId, term, primaryAddress }: WireOrder): DatabaseOrder {
    const order = primaryAddress === undefined
        ? { kind: OrderKind.Promote, term }
        : { kind: OrderKind.Follow, term, primaryAddress };
    return { orderId, databaseId, order };
}

function decodeLease({ resource, resourceId, epoch }: WireLease): LeaseReference {
    const isDatabase = resource === ResourceKind.Database;
    return { resource: isDatabase ? ResourceKind.Database : ResourceKind.Permits, resourceId, epoch };
}

function decodeDirectoryEntry({ announcement, available }: WireEntry): DirectoryEntry[] {
    return announcement === undefined ? [] : [{ announcement: decodeAnnouncement(announcement), available }];
}

function roundMs(ms: number): number {
    return Math.max(0, Math.round(ms));
}
