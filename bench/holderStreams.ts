/** Streams between entry instances and holders. When a stream breaks, its in-flight requests are lost. */
import {
    type HolderForward,
    type HolderForwardFloorRequest,
    type HolderForwardSessionEnd,
    HolderKind,
    type HolderReply,
} from "../src/model/holderMessages.ts";
import type { Message } from "../src/pipeline/message.ts";
import type { ProxyInstance } from "./proxyInstance.ts";
import type { ProxyNetwork } from "./proxyNetwork.ts";
import type { Simulation } from "./simulation.ts";

type Forward = HolderForward | HolderForwardFloorRequest | HolderForwardSessionEnd;

const deliveredKinds: Readonly<Record<string, string>> = {
    [HolderKind.Forward]: HolderKind.Request,
    [HolderKind.ForwardFloorRequest]: HolderKind.FloorRequest,
    [HolderKind.ForwardSessionEnd]: HolderKind.SessionEnd,
    [HolderKind.Reply]: HolderKind.Answer,
    [HolderKind.FloorReply]: HolderKind.FloorAnswer,
};

export class HolderStreams {
    private readonly instances: ReadonlyMap<string, ProxyInstance>;
    private readonly network: ProxyNetwork;
    private readonly simulation: Simulation;
    /** Ids of in-flight requests by entry instance and holder. */
    private readonly inFlight = new Map<string, Set<string>>();

    constructor(instances: ReadonlyMap<string, ProxyInstance>, network: ProxyNetwork, simulation: Simulation) {
        this.instances = instances;
        this.network = network;
        this.simulation = simulation;
    }

    /** Sends a request to its holder. In the model, a holder's address is its id, and the origin is the entry's id. */
    forward(from: ProxyInstance, forward: Forward): void {
        const { holderAddress, ...body } = forward;
        const holder = this.instances.get(holderAddress)!;
        const origin = from.options.instanceId;
        if ("requestId" in forward) {
            this.inFlightOf(origin, holderAddress).add(forward.requestId);
        }
        if (!this.network.connects(from.options.dataCentre, holder.options.dataCentre)) {
            this.simulation.at(this.network.lossDetectedAtMs(), () => this.breakStream(from, holder));
            return;
        }
        const delivered = { ...body, kind: deliveredKinds[forward.kind]!, origin };
        this.sendMessage(from, holder, delivered);
    }

    deliverReply(from: ProxyInstance, reply: HolderReply): void {
        const { origin, ...body } = reply;
        const entry = this.instances.get(origin)!;
        const delivered = { ...body, kind: deliveredKinds[reply.kind]! };
        this.sendMessage(
            from,
            entry,
            delivered,
            () => this.inFlightOf(origin, from.options.instanceId).delete(reply.requestId),
        );
    }

    /** Reports a stream that keepalive found broken to both ends. */
    breakStream(entry: ProxyInstance, holder: ProxyInstance): void {
        const inFlightIds = this.inFlightOf(entry.options.instanceId, holder.options.instanceId);
        const requestIds = [...inFlightIds];
        inFlightIds.clear();
        if (requestIds.length > 0) {
            const holderAddress = holder.options.instanceId;
            entry.post({ kind: HolderKind.StreamLost, holderAddress, origin: undefined, requestIds } as Message);
        }
        const origin = entry.options.instanceId;
        holder.post({ kind: HolderKind.StreamLost, holderAddress: undefined, origin, requestIds: [] } as Message);
    }

    private sendMessage(from: ProxyInstance, to: ProxyInstance, message: Message, onArrival?: () => void): void {
        const streamId = `${from.options.instanceId}>${to.options.instanceId}`;
        this.network.send(from.options.dataCentre, to.options.dataCentre, streamId, () => {
            onArrival?.();
            to.post(message);
        });
    }

    private inFlightOf(entryId: string, holderId: string): Set<string> {
        const key = `${entryId}>${holderId}`;
        const existingIds = this.inFlight.get(key);
        const inFlightIds = existingIds ?? new Set<string>();
        if (existingIds === undefined) {
            this.inFlight.set(key, inFlightIds);
        }
        return inFlightIds;
    }
}
