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

interface SentOrder {
    readonly result: OrderResult;
    readonly body: string;
}

async function send(status: number, service = "s", databaseId = "d"): Promise<SentOrder> {
    let body = "";
    const server = createServer((request, response) => {
        request.setEncoding("utf8").on("data", chunk => body += chunk);
        request.on("end", () => response.writeHead(status).end());
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    try {
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const ordered = await new Promise<PromotionOrdered>(resolve => {
            const client = new PromotionOrderClient({
                address,
                holder: "m",
                post: message => resolve(message as PromotionOrdered),
            });
            const order: PromotionOrder = { kind: PromotionKind.Order, service, databaseId, fence: 1 };
            client.deliver(order);
        });
        return { result: ordered.result, body };
    }
    finally {
        server.close();
    }
}

describe("promotion orders", () => {
    it("count as refused only if the platform has decided on them", async () => {
        // Guards against another choice while the platform limits calls.
        const results = await Promise.all([200, 409, 408, 429, 503].map(status => send(status)));
        assert.deepEqual(results.map(({ result }) => result), [
            OrderResult.Accepted,
            OrderResult.Refused,
            OrderResult.Unknown,
            OrderResult.Unknown,
            OrderResult.Unknown,
        ]);
    });

    it("name service and database as the platform does", async () => {
        const wireName = (text: string): string => Buffer.from(text, "utf8").toString("latin1");
        const { body } = await send(200, wireName("s\u20ac"), wireName("d\u00e9"));
        assert.deepEqual(JSON.parse(body), { service: "s\u20ac", id: "d\u00e9" });
    });
});
