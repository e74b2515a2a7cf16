/** One instance of the proxy model: the proxy's request and holder filters in their own event loop. */
import { type CallerAnswer, CallerKind } from "../src/model/callerMessages.ts";
import { HolderHealthKind } from "../src/model/healthMessages.ts";
import {
    type HolderForward,
    type HolderForwardFloorRequest,
    type HolderForwardSessionEnd,
    HolderKind,
    type HolderReply,
} from "../src/model/holderMessages.ts";
import { EventLoop } from "../src/pipeline/eventLoop.ts";
import type { Message } from "../src/pipeline/message.ts";
import { Pipe } from "../src/pipeline/pipe.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import type { Sink } from "../src/pipeline/sink.ts";
import { AnswerFilter } from "../src/request/answer.ts";
import { RouteFilter } from "../src/request/route.ts";
import type { SessionTokenCodec } from "../src/request/sessionState.ts";
import { buildHolderPipe } from "./holderPipe.ts";
import { InstanceClock, type Simulation } from "./simulation.ts";

type Forward = HolderForward | HolderForwardFloorRequest | HolderForwardSessionEnd;

export interface ProxyInstanceOptions {
    readonly instanceId: string;
    readonly dataCentre: number;
    readonly dataCentreName: string;
    readonly simulation: Simulation;
    readonly seed: number;
    readonly databases: Sink;
    readonly onForward: (forward: Forward) => void;
    readonly onReply: (reply: HolderReply) => void;
    readonly onAnswer: (answer: CallerAnswer) => void;
}

/** The model does not use session tokens. */
const noTokens: SessionTokenCodec = { encode: () => "", decode: () => undefined };

export class ProxyInstance {
    readonly options: ProxyInstanceOptions;
    private readonly loop: EventLoop;

    constructor(options: ProxyInstanceOptions) {
        this.options = options;
        const { instanceId, dataCentreName, simulation, seed } = options;
        const route = new RouteFilter({
            instanceId,
            incarnation: "1",
            dataCentre: dataCentreName,
            random: new SeededRandom(seed),
            tokenCodec: noTokens,
        });
        this.loop = new EventLoop({
            clock: new InstanceClock(simulation, 1, 0),
            pipes: [
                new Pipe("request", [route, new AnswerFilter()]),
                buildHolderPipe(seed),
            ],
            sinks: [options.databases, this.streams(), this.callers(), this.health()],
        });
    }

    post(message: Message): void {
        this.loop.post(message);
    }

    private streams(): Sink {
        return {
            accepts: [
                HolderKind.Forward,
                HolderKind.ForwardFloorRequest,
                HolderKind.ForwardSessionEnd,
                HolderKind.Reply,
                HolderKind.FloorReply,
            ],
            deliver: message => {
                const isReply = message.kind === HolderKind.Reply || message.kind === HolderKind.FloorReply;
                return isReply
                    ? this.options.onReply(message as HolderReply)
                    : this.options.onForward(message as Forward);
            },
        };
    }

    private callers(): Sink {
        return {
            accepts: [CallerKind.Answer],
            deliver: message => this.options.onAnswer(message as CallerAnswer),
        };
    }

    // Discards health messages, because ProxyCluster decides about leases and primaries itself.
    private health(): Sink {
        return {
            accepts: [HolderHealthKind.DatabaseHealth, HolderHealthKind.OrderDone, HolderHealthKind.LeaseIdle],
            deliver: () => undefined,
        };
    }
}
