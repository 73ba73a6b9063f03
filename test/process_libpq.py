"""Extended query protocol with libpq: parameters, prepared statements, descriptions, a pipeline."""
import ctypes
import ctypes.util
import sys

from cluster import Cluster
from loopback import HOST

COMMAND_OK, TUPLES_OK, FATAL_ERROR, PIPELINE_SYNC = 1, 2, 7, 10

libpq = ctypes.CDLL(ctypes.util.find_library("pq"))
for name in ("PQconnectdb", "PQexecParams", "PQprepare", "PQexecPrepared", "PQdescribePrepared",
             "PQgetResult"):
    getattr(libpq, name).restype = ctypes.c_void_p
for name in ("PQgetvalue", "PQerrorMessage", "PQfname", "PQresultErrorField", "PQcmdStatus"):
    getattr(libpq, name).restype = ctypes.c_char_p


def as_pointer(value):
    return ctypes.c_void_p(value)


def c_strings(values):
    return (ctypes.c_char_p * len(values))(*[value.encode() for value in values])


class Session:
    """Connection of libpq; its functions return the result as a pointer."""

    def __init__(self, text):
        self.connection = as_pointer(libpq.PQconnectdb(text.encode()))
        assert libpq.PQstatus(self.connection) == 0, libpq.PQerrorMessage(self.connection)

    def execute(self, statement, *values):
        return as_pointer(libpq.PQexecParams(self.connection, statement.encode(), len(values), None,
                                             c_strings(values), None, None, 0))

    def prepare(self, name, statement):
        return as_pointer(libpq.PQprepare(self.connection, name.encode(), statement.encode(), 0, None))

    def execute_prepared(self, name, *values):
        return as_pointer(libpq.PQexecPrepared(self.connection, name.encode(), len(values),
                                               c_strings(values), None, None, 0))

    def describe(self, name):
        return as_pointer(libpq.PQdescribePrepared(self.connection, name.encode()))

    def next_status(self):
        """Returns the status of the next result of a pipeline; None between two statements."""
        result = libpq.PQgetResult(self.connection)
        return libpq.PQresultStatus(as_pointer(result)) if result else None


def expect(result, status):
    """Checks the status of a result and returns the result."""
    assert libpq.PQresultStatus(result) == status, (
        libpq.PQresultStatus(result), libpq.PQresultErrorField(result, ord("M")))
    return result


def main(build):
    with Cluster(build, proxies=1) as cluster:
        port = next(iter(cluster.proxy_port.values()))
        session = Session(f"host={HOST} port={port} user=counter dbname=cribs sslmode=disable "
                          f"password={cluster.keys['counter']}")
        expect(session.execute("CREATE TABLE crib (id INTEGER PRIMARY KEY, state TEXT)"), COMMAND_OK)
        expect(session.execute("INSERT INTO crib VALUES ($1, $2)", "1", "taken in"), COMMAND_OK)
        rows = expect(session.execute("SELECT state FROM crib WHERE id = $1", "1"), TUPLES_OK)
        assert libpq.PQgetvalue(rows, 0, 0) == b"taken in"

        expect(session.prepare("find", "SELECT id, state FROM crib WHERE id = $1"), COMMAND_OK)
        description = expect(session.describe("find"), COMMAND_OK)
        assert libpq.PQnparams(description) == 1 and libpq.PQfname(description, 1) == b"state"
        for _ in range(2):
            rows = expect(session.execute_prepared("find", "1"), TUPLES_OK)
            assert libpq.PQgetvalue(rows, 0, 1) == b"taken in"
        expect(session.execute_prepared("missing"), FATAL_ERROR)

        duplicate = expect(session.execute("INSERT INTO crib VALUES ($1, 'x')", "1"), FATAL_ERROR)
        assert libpq.PQresultErrorField(duplicate, ord("C")) == b"23505"
        print("parameters, prepared statements, descriptions and errors work")

        assert libpq.PQenterPipelineMode(session.connection) == 1
        for number in ("2", "3", "1"):
            assert libpq.PQsendQueryParams(session.connection, b"INSERT INTO crib VALUES ($1, 'x')", 1,
                                           None, c_strings([number]), None, None, 0) == 1
        assert libpq.PQpipelineSync(session.connection) == 1
        statuses = []
        while PIPELINE_SYNC not in statuses:
            statuses.append(session.next_status())
        assert FATAL_ERROR in statuses, statuses
        assert libpq.PQexitPipelineMode(session.connection) == 1
        rows = expect(session.execute("SELECT count(*) FROM crib"), TUPLES_OK)
        assert libpq.PQgetvalue(rows, 0, 0) == b"1", "a failed pipeline must leave no rows"
        print("the statements of a pipeline up to Sync are one transaction")


main(sys.argv[1])
