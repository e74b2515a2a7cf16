import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { describe, it } from "node:test";
import { LinkKind, LinkLoss, type LinkLost } from "../../model/linkMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { WireClient } from "../wireClient.ts";

/** Opens a link to a database that sends a text, and returns what was posted when the link is lost. */
async function lastMessage(text: string): Promise<{ readonly lost: LinkLost; readonly posted: readonly Message[]; }> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.write(text, "latin1");
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const posted: Message[] = [];
    const ended = new EventEmitter();
    const post = (message: Message): void => {
        posted.push(message);
        ended.emit(message.kind, message);
    };
    await using client = new WireClient({ post });
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    client.deliver({ kind: LinkKind.Open, linkId: "l", address, service: "s", workspace: "w", databaseId: "d" });
    const [lost] = await once(ended, LinkKind.Lost) as [LinkLost];
    server.close();
    return { lost, posted };
}

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

    it("tell what was wrong with the message that ended them, without its text", async () => {
        const streams = [
            "READY I 1.1\r\nHELLO x\r\n",
            "READY I 1.1\r\nROW x\r\nREADY I 1.1\r\n",
            "x".repeat(1_100_000),
        ];
        const defects: (string | undefined)[] = [];
        for (const sent of streams) {
            const { lost } = await lastMessage(sent);
            assert.equal(lost.loss, LinkLoss.Broken);
            defects.push(lost.defect);
        }
        assert.deepEqual(defects, [
            "a message of 7 bytes has an unknown kind",
            "1 rows without an outcome",
            "a message exceeds 1048576 bytes",
        ]);
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
