"""Stand-in for the platform: table service, object store and host list."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

import falcon  # noqa: E402
from sardinewheel_entry import wsgi  # noqa: E402


class Table:
    """Rows with versions, and transactions that apply at once or not."""

    def __init__(self):
        self.rows: dict[str, tuple[int, str]] = {}
        self.settled: dict[str, dict] = {}

    def row(self, key: str) -> dict:
        """Returns a row; version 0 means that it is absent."""
        version, value = self.rows.get(key, (0, ""))
        return {"key": key, "version": version, "value": value}

    def transact(self, change_id: str, checks: list, writes: list) -> dict:
        """Writes rows if the checked versions hold."""
        if change_id in self.settled:
            return self.settled[change_id]
        wrong = [k for k, v in checks if self.row(k)["version"] != v]
        if wrong:
            return {"committed": False, "rows": [self.row(k) for k in wrong]}
        for key, value in writes:
            self.rows[key] = (self.row(key)["version"] + 1, value)
        self.settled[change_id] = {"committed": True, "rows": []}
        return self.settled[change_id]


class ReadResource:
    """``POST /v1/table/read``."""

    def __init__(self, table: Table):
        self.table = table

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with rows."""
        keys = req.get_media()["keys"]
        resp.media = {"rows": [self.table.row(key) for key in keys]}


class TransactResource:
    """``POST /v1/table/transact``."""

    def __init__(self, table: Table):
        self.table = table

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Runs a transaction."""
        resp.media = self.table.transact(**req.get_media())


def main() -> None:
    """Serves the platform on the address given as first argument."""
    table = Table()
    app = falcon.App()
    app.add_route("/v1/table/read", ReadResource(table))
    app.add_route("/v1/table/transact", TransactResource(table))
    wsgi.server(sys.argv[1], app).serve_forever()


if __name__ == "__main__":
    main()
