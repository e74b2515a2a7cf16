import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import {
    OrderResult,
    PromotionKind,
    type PromotionOrder,
    type PromotionOrdered,
} from "../../model/promotionMessages.ts";
import { PromotionOrderClient } from "../promotionOrderClient.ts";

async function resultOf(status: number): Promise<OrderResult> {
    const server = createServer((_, response) => response.writeHead(status).end()).listen(0, "127.0.0.1");
    await once(server, "listening");
    try {
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const ordered = await new Promise<PromotionOrdered>(resolve => {
            const client = new PromotionOrderClient({
                address,
                holder: "m",
                post: message => resolve(message as PromotionOrdered),
            });
            const order: PromotionOrder = { kind: PromotionKind.Order, service: "s", databaseId: "d", fence: 1 };
            client.deliver(order);
        });
        return ordered.result;
    }
    finally {
        server.close();
    }
}

describe("promotion orders", () => {
    it("count as refused only if the platform has decided on them", async () => {
        // Guards against another choice while the platform limits calls.
        const results = await Promise.all([200, 409, 408, 429, 503].map(resultOf));
        assert.deepEqual(results, [
            OrderResult.Accepted,
            OrderResult.Refused,
            OrderResult.Unknown,
            OrderResult.Unknown,
            OrderResult.Unknown,
        ]);
    });
});
