/** Sends promotion orders to the API of the platform. */
import { request } from "node:http";
import { OrderResult, PromotionKind, type PromotionOrder, type PromotionOrdered } from "../model/promotionMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { fromWireName } from "./wireNames.ts";

/** The platform may be slow. After a timeout, the same order is sent again, which changes nothing once it is executed. */
const answerTimeoutMs = 1_000;

export interface PromotionOrderClientOptions {
    /** `host:port` */
    readonly address: string;
    /** Name of this machine, which the platform is told as the sender of the order. */
    readonly holder: string;
    readonly post: (message: Message) => void;
}

export class PromotionOrderClient implements Sink<PromotionOrder> {
    readonly accepts = [PromotionKind.Order];
    private readonly options: PromotionOrderClientOptions;

    constructor(options: PromotionOrderClientOptions) {
        this.options = options;
    }

    deliver({ service, databaseId, fence }: PromotionOrder): void {
        const { address, holder, post } = this.options;
        const body = JSON.stringify({ service: fromWireName(service), id: fromWireName(databaseId) });
        const sentAtMs = performance.now();
        let answered = false;
        const complete = (result: OrderResult): void => {
            if (!answered) {
                answered = true;
                const elapsedMs = performance.now() - sentAtMs;
                post(
                    { kind: PromotionKind.Ordered, service, databaseId, fence, result, elapsedMs } as PromotionOrdered,
                );
            }
        };
        const call = request(`http://${address}/promotion`, {
            method: "POST",
            agent: false,
            timeout: answerTimeoutMs,
            headers: {
                "Content-Type": "application/json",
                "Content-Length": Buffer.byteLength(body),
                "Jasmineline-Duty-Holder": holder,
                "Jasmineline-Fence-Token": String(fence),
            },
        }, response => {
            response.resume();
            complete(toResult(response.statusCode ?? 0));
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => complete(OrderResult.Unknown));
        call.on("close", () => complete(OrderResult.Unknown));
        call.end(body);
    }
}

function toResult(status: number): OrderResult {
    if (status >= 200 && status < 300) {
        return OrderResult.Accepted;
    }
    return status >= 400 && status < 500 && !isRetryable(status) ? OrderResult.Refused : OrderResult.Unknown;
}

/** Whether the platform dropped the call without a decision: it timed out, or there were too many calls. */
function isRetryable(status: number): boolean {
    return status === 408 || status === 429;
}
