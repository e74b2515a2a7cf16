import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LinkKind, LinkLoss, type LinkLost } from "../../model/linkMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { WireClient } from "../wireClient.ts";

describe("links to databases", () => {
    it("are lost if the address is invalid, without terminating the process", async () => {
        const posted: Message[] = [];
        await using client = new WireClient({ post: message => posted.push(message) });
        const addresses = ["10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:1.5", "10.0.0.1", "10.0.0.1:", ":80", ""];
        addresses.forEach((address, index) =>
            client.deliver({
                kind: LinkKind.Open,
                linkId: `l${index}`,
                address,
                service: "s",
                workspace: "w",
                databaseId: "d",
            })
        );
        assert.deepEqual(
            posted.map(message => [(message as LinkLost).linkId, (message as LinkLost).loss]),
            addresses.map((_, index) => [`l${index}`, LinkLoss.NoListener]),
        );
    });
});
