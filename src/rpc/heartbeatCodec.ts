/** Heartbeats and their answers on the wire. */
import {
    type DatabaseOrder,
    type DirectoryEntry,
    type Heartbeat,
    type HeartbeatAnswer,
    type LeaseReference,
    OrderKind,
} from "../model/healthMessages.ts";
import { ResourceKind } from "../model/lease.ts";
import { originPosition } from "../model/position.ts";
import { decodeAnnouncement, encodeAnnouncement, validateAnnouncement } from "./announcementCodec.ts";
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
            ageMs: wholeMs(ageMs),
        })),
        heardUnchanged: heartbeat.heardUnchanged.map(({ databaseId, ageMs }) => ({
            databaseId,
            ageMs: wholeMs(ageMs),
        })),
        leases: [...heartbeat.leases],
        givenBack: [...heartbeat.givenBack],
        held: [...heartbeat.held],
        orderResults: [...heartbeat.orderResults],
        demands: [...heartbeat.demands],
    };
}

/** Names the first field of a heartbeat that cannot be right and says what it must be; undefined when all can. */
export function validateHeartbeat(request: HeartbeatRequest): string | undefined {
    const texts = ["instanceId", "address", "dataCentre", "incarnation"] as const;
    const empty = texts.find(field => request[field] === "");
    if (empty !== undefined) {
        return `${empty.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)} must not be empty`;
    }
    const faults = request.heard.map(({ announcement }) =>
        announcement === undefined ? "announcement must be set" : validateAnnouncement(announcement)
    );
    const index = faults.findIndex(fault => fault !== undefined);
    return index < 0 ? undefined : `heard[${index}]: ${faults[index]}`;
}

/** @param request a request without a fault */
export function decodeHeartbeat(request: HeartbeatRequest): Heartbeat {
    return {
        ...request,
        heard: request.heard.map(({ announcement, ageMs }) => ({
            announcement: decodeAnnouncement(announcement!),
            ageMs,
        })),
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
        nextHeartbeatMs: wholeMs(answer.nextHeartbeatMs),
    };
}

export function decodeHeartbeatAnswer(response: HeartbeatResponse): HeartbeatAnswer {
    return {
        ...response,
        leaderAddress: response.leaderAddress,
        renewed: response.renewed.map(decodeLease),
        directory: response.directory.flatMap(decodeEntry),
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

function decodeEntry({ announcement, available }: WireEntry): DirectoryEntry[] {
    return announcement === undefined ? [] : [{ announcement: decodeAnnouncement(announcement), available }];
}

function wholeMs(ms: number): number {
    return Math.max(0, Math.round(ms));
}
