import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HolderFixture } from "./holderFixture.ts";

describe("holder pipe", () => {
    it("answers a read and, once a majority has it, a write", () => {
        const fixture = new HolderFixture().start();
        const read = fixture.send("SELECT 1");
        const write = fixture.send("INSERT a", { sessionId: "s2" });
        fixture.run(10);
        assert.equal(fixture.result(read), "rows");
        assert.equal(fixture.result(write), undefined);
        fixture.databases.replicate("p", "r1");
        fixture.run(25);
        assert.equal(fixture.result(write), "done");
        assert.deepEqual(fixture.answer(write)?.written, { term: 1, offset: 1 });
    });
});
