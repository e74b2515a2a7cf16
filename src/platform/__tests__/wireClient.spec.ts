import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { describe, it } from "node:test";
import { LinkKind, LinkLoss, type LinkLost } from "../../model/linkMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { WireClient } from "../wireClient.ts";

describe("links to databases", () => {
    let client: WireClient | undefined;

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

    it("outlive a reply to CONNECT that the database repeats", async () => {
        const server = createServer(socket =>
            socket.write("READY I 1.1\r\nREADY I 1.1\r\nCOMPLETE -\r\nREADY I 1.1\r\n")
        );
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const posted: Message[] = [];
        const replied = new Promise<void>(resolve => {
            const post = (message: Message): void => {
                posted.push(message);
                if (posted.length === 2) {
                    resolve();
                }
            };
            client = new WireClient({ post });
        });
        client!.deliver({
            kind: LinkKind.Open,
            linkId: "l",
            address: `127.0.0.1:${port}`,
            service: "s",
            workspace: "w",
            databaseId: "d",
        });
        await replied;
        await client![Symbol.asyncDispose]();
        server.close();
        assert.deepEqual(posted.map(({ kind }) => kind), [LinkKind.Opened, LinkKind.Replied]);
    });
});
