"""Versions, confirmed commits, rollback and history."""

import contextlib

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mulleinrelay.management.datastore import MAX_VERSIONS, CommitRequest, ConfirmRequest, Datastore
from mulleinrelay.management.datastore_file import decode_state, encode_state
from mulleinrelay.management.errors import CommitRejectedError, ErrorCode


class FakeParticipant:
    """A participant that keeps the committed tree, and can reject a prepare or fail a commit."""

    def __init__(self, name, rejects=False, fails=False):
        self.name = name
        self.committed = {}
        self.rejects = rejects
        self.fails = fails

    def prepare(self, old, new):
        if self.rejects:
            raise CommitRejectedError(f"{self.name} rejected")
        return new

    def persisted_version(self, prepared):
        return 0

    def commit(self, prepared):
        if self.fails:
            raise ValueError(f"{self.name} failed")
        previous = self.committed
        self.committed = prepared

        def undo():
            self.committed = previous

        return undo


def reject_if_bad(tree):
    if tree.get("bad"):
        raise CommitRejectedError("the tree has a member named bad")
    return tree


def new_datastore(participants=(), persist=None):
    return Datastore(reject_if_bad, list(participants), persist or (lambda state: None))


def fail_to_persist(state):
    raise CommitRejectedError("disk full", ErrorCode.FAILED)


@pytest.mark.parametrize(
    ("participants", "persist", "tree", "code"),
    [
        ((FakeParticipant("one"), FakeParticipant("two", rejects=True)), None, {"a": 1}, "invalid"),
        ((FakeParticipant("one"), FakeParticipant("two", fails=True)), None, {"a": 1}, "failed"),
        ((FakeParticipant("one"), FakeParticipant("two")), fail_to_persist, {"a": 1}, "failed"),
        ((FakeParticipant("one"),), None, {"bad": 1}, "invalid"),
    ],
    ids=["rejected prepare", "failed commit", "not persisted", "not valid"],
)
def test_rejected_commit_changes_no_participant(participants, persist, tree, code):
    datastore = new_datastore(participants, persist)
    before = datastore.state
    with pytest.raises(CommitRejectedError) as rejection:
        datastore.commit(1.0, CommitRequest(tree, "me", "why"))
    assert rejection.value.code == code
    assert datastore.state is before
    assert all(participant.committed == {} for participant in participants)


def test_commit_built_on_an_older_version_is_rejected():
    datastore = new_datastore()
    datastore.commit(1.0, CommitRequest({"a": 1}, "one", "", expected_version=0))
    with pytest.raises(CommitRejectedError, match="built on version 0, but version 1") as rejection:
        datastore.commit(2.0, CommitRequest({"a": 2}, "two", "", expected_version=0))
    assert rejection.value.code == "stale"
    assert datastore.running.tree == {"a": 1}


@pytest.mark.parametrize(
    ("act", "tree", "number"),
    [
        (lambda datastore: datastore.roll_back_expired(60_000.0), {"a": 1}, 3),
        (lambda datastore: datastore.roll_back_expired(50_000.0), {"a": 2}, 2),
        (
            lambda datastore: (datastore.confirm("c"), datastore.roll_back_expired(99_000.0)),
            {"a": 2},
            2,
        ),
        (lambda datastore: datastore.cancel(5.0, "c", "me"), {"a": 1}, 3),
    ],
    ids=["expired", "not yet expired", "confirmed", "cancelled"],
)
def test_confirmed_commit_is_kept_only_if_confirmed_in_time(act, tree, number):
    participant = FakeParticipant("one")
    datastore = new_datastore([participant])
    datastore.commit(1.0, CommitRequest({"a": 1}, "me", ""))
    datastore.commit(2.0, CommitRequest({"a": 2}, "me", "", confirm=ConfirmRequest("c", 59_000.0)))
    with pytest.raises(
        CommitRejectedError, match=r"^change c is still waiting for its confirmation$"
    ):
        datastore.commit(
            3.0, CommitRequest({"a": 3}, "me", "", confirm=ConfirmRequest("d", 1_000.0))
        )
    with pytest.raises(
        CommitRejectedError, match=r"^no change d is waiting for a confirmation, but change c is$"
    ):
        datastore.confirm("d")
    act(datastore)
    running = datastore.running
    assert (running.tree, running.number, participant.committed) == (tree, number, tree)


def test_commit_on_top_of_an_unconfirmed_one_is_rolled_back_with_it():
    datastore = new_datastore()
    datastore.commit(1.0, CommitRequest({"a": 1}, "me", ""))
    datastore.commit(2.0, CommitRequest({"a": 2}, "me", "", confirm=ConfirmRequest("c", 1_000.0)))
    datastore.commit(3.0, CommitRequest({"a": 2, "b": 1}, "other", ""))
    assert datastore.roll_back_expired(5_000.0).tree == {"a": 1}


def test_history_is_bounded_and_its_versions_can_be_restored():
    datastore = new_datastore()
    for number in range(80):
        datastore.commit(float(number), CommitRequest({"a": number}, "me", ""))
    assert len(datastore.state.versions) == MAX_VERSIONS
    with pytest.raises(
        CommitRejectedError, match="version 3 is not in the history, which has versions 31 to 80"
    ):
        datastore.rollback(99.0, 3, "me")
    assert datastore.rollback(99.0, 40, "me").tree == {"a": 39}
    assert datastore.running.number == 81


class DatastoreMachine(RuleBasedStateMachine):
    """Random calls of a datastore, which must agree with its participant and its file after each.

    A rejected or failed commit, a rollback or a restart must not leave the participant or the file
    with another configuration than the running one.
    """

    def __init__(self):
        super().__init__()
        self.participant = FakeParticipant("one")
        self.file_content = b""
        self.now = 0.0
        self.datastore = new_datastore([self.participant], self.persist)

    def persist(self, state):
        self.file_content = encode_state(state)

    @rule(
        value=st.integers(0, 3),
        confirm=st.booleans(),
        stale=st.booleans(),
        rejects=st.booleans(),
        fails=st.booleans(),
        bad=st.booleans(),
    )
    def commit(self, value, confirm, stale, rejects, fails, bad):
        self.participant.rejects = rejects
        self.participant.fails = fails
        request = CommitRequest(
            {"a": value} | ({"bad": 1} if bad else {}),
            "me",
            "",
            0 if stale else None,
            ConfirmRequest("c", 100.0) if confirm else None,
        )
        with contextlib.suppress(CommitRejectedError):
            self.datastore.commit(self.now, request)
        self.participant.rejects = False
        self.participant.fails = False

    @rule(name=st.sampled_from("cd"))
    def confirm(self, name):
        with contextlib.suppress(CommitRejectedError):
            self.datastore.confirm(name)

    @rule(duration=st.sampled_from([1.0, 60.0, 500.0]))
    def pass_time(self, duration):
        self.now += duration
        self.datastore.roll_back_expired(self.now)

    @rule()
    def restart(self):
        if self.file_content:
            restarted = new_datastore([self.participant], self.persist)
            restarted.state = decode_state(self.file_content)
            self.datastore = restarted

    @invariant()
    def participant_and_file_have_the_running_version(self):
        assert self.participant.committed == self.datastore.running.tree
        assert not self.file_content or decode_state(self.file_content) == self.datastore.state


TestDatastoreMachine = DatastoreMachine.TestCase
