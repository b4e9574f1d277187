import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {test} from 'node:test';
import {
  maxOverdueMs,
  OpenRequestCheck,
  OverdueSink,
  overdueKinds,
  ThrowingOverdueSink,
  type CheckedRequest,
  type OpenRequest,
  type OverdueKind,
  type RequestState,
} from '../../src/request/gateway/open-request-check.js';

class RecordingSink extends OverdueSink {
  readonly reports: {kind: OverdueKind; state: RequestState}[] = [];

  override overdue(kind: OverdueKind, state: RequestState): void {
    this.reports.push({kind, state});
  }
}

/** State of a request's messages and connection. */
interface MessageState {
  complete: boolean;
  writableEnded: boolean;
  destroyed: boolean;
}

function createRequest(state: Partial<MessageState> = {}) {
  const socket = {destroyed: false};
  const req = {complete: state.complete ?? true, destroyed: false, socket};
  const res = {
    writableEnded: state.writableEnded ?? false,
    destroyed: state.destroyed ?? false,
    headersSent: false,
  };
  const request: OpenRequest = {
    requestId: 'r',
    arrivedMs: 0,
    req: req as unknown as IncomingMessage,
    res: res as unknown as ServerResponse,
  };
  return {request, req, res, socket};
}

function startCheck(state?: Partial<MessageState>) {
  const sink = new RecordingSink();
  const check = new OpenRequestCheck(sink);
  const created = createRequest(state);
  check.add(created.request);
  return {sink, check, ...created};
}

const admitted: CheckedRequest = {deadlineAtMs: 1000, state: {waiting: true}};

// Guards against an admitted request that stays open for good without a trace.
test('a request that is open after its deadline is reported once, with its state', () => {
  const {sink, check, request} = startCheck();
  request.admitted = admitted;
  check.check(1000 + maxOverdueMs);
  assert.equal(sink.reports.length, 0);
  check.check(1001 + maxOverdueMs);
  check.check(9000);
  assert.deepEqual(
    sink.reports.map(({kind, state}) => [kind, state.request, state.waiting]),
    [[overdueKinds.pastDeadline, 'r', true]],
  );
  assert.equal(check.size, 0);
});

// Guards against a request that was read and then forgotten before it was admitted.
test('a complete request that is neither admitted nor refused is reported', () => {
  const {sink, check, req} = startCheck({complete: false});
  check.check(5000);
  req.complete = true;
  check.check(5100);
  check.check(5100 + maxOverdueMs);
  assert.equal(sink.reports.length, 0);
  check.check(5101 + maxOverdueMs);
  assert.deepEqual(
    sink.reports.map(({kind}) => kind),
    [overdueKinds.unhandled],
  );
});

// Guards against reports of requests whose callers left before they were complete.
test('an incomplete request whose connection closes is dropped', () => {
  const {sink, check, socket} = startCheck({complete: false});
  socket.destroyed = true;
  check.check(100);
  assert.equal(check.size, 0);
  assert.equal(sink.reports.length, 0);
});

// Guards against a request that is counted as finished although its caller waits on.
test('a request that is finished without a response is reported', () => {
  const {sink, check, request} = startCheck();
  check.end(request, 10);
  check.end(request, 10);
  assert.deepEqual(
    sink.reports.map(({kind}) => kind),
    [overdueKinds.unanswered],
  );
});

test('a request that is finished with its response or connection is not reported', () => {
  for (const state of [{writableEnded: true}, {destroyed: true}]) {
    const {sink, check, request} = startCheck(state);
    check.end(request, 10);
    check.check(9000);
    assert.equal(sink.reports.length, 0);
    assert.equal(check.size, 0);
  }
});

test('tests fail on a request whose response should have ended', () => {
  const sink = new ThrowingOverdueSink();
  assert.throws(() => sink.overdue('unanswered', {request: 'r'}), /unanswered/);
});
