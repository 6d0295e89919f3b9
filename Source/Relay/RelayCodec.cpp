#include "Relay/RelayCodec.h"

#include "Base/Overloaded.h"
#include "jayramp/relay/v1/relay.pb.h"

namespace jayramp::relay {

namespace wire = jayramp::relay::v1;

namespace {

auto malformed(const char *MessageName) -> Error {
  return Error::make(ErrorKind::Internal, MessageName,
                     "message cannot be decoded",
                     "run the same release on all entry hosts");
}

auto toWire(const store::RowKey &Key, wire::Key &Message) -> void {
  Message.set_table(Key.Table);
  Message.set_partition(Key.Partition);
  Message.set_key(Key.Key);
}

auto fromWire(const wire::Key &Message) -> store::RowKey {
  return {Message.table(), Message.partition(), Message.key()};
}

auto toWire(const store::Row &Row, wire::Row &Message) -> void {
  toWire(Row.Key, *Message.mutable_key());
  Message.set_value(Row.Value);
  Message.set_version(Row.Version);
  Message.set_deleted(Row.Deleted);
}

auto fromWire(const wire::Row &Message) -> store::Row {
  return {fromWire(Message.key()), Message.value(), Message.version(),
          Message.deleted()};
}

auto toWire(const std::vector<store::Row> &Rows, wire::Page &Message) -> void {
  for (const auto &Row : Rows)
    toWire(Row, *Message.add_rows());
}

auto rowsOf(const wire::Page &Message) -> std::vector<store::Row> {
  std::vector<store::Row> Rows;
  for (const auto &Each : Message.rows())
    Rows.push_back(fromWire(Each));
  return Rows;
}

auto toWire(const store::RowTransaction &Change, wire::Transaction &Message)
    -> void {
  for (const auto &Condition : Change.Conditions) {
    auto &Each = *Message.add_conditions();
    toWire(Condition.Key, *Each.mutable_key());
    Each.set_version(Condition.Version);
  }
  for (const auto &Write : Change.Writes) {
    auto &Each = *Message.add_writes();
    toWire(Write.Key, *Each.mutable_key());
    Each.set_value(Write.Value);
  }
  for (const auto &Key : Change.Removals)
    toWire(Key, *Message.add_removals());
}

auto fromWire(const wire::Transaction &Message) -> store::RowTransaction {
  store::RowTransaction Change;
  for (const auto &Each : Message.conditions())
    Change.Conditions.push_back({fromWire(Each.key()), Each.version()});
  for (const auto &Each : Message.writes())
    Change.Writes.push_back({fromWire(Each.key()), Each.value()});
  for (const auto &Each : Message.removals())
    Change.Removals.push_back(fromWire(Each));
  return Change;
}

} // namespace

auto encodeRelayCall(const RelayCall &Call) -> std::string {
  wire::Call Message;
  Message.set_timeout_ms(Call.Timeout.count());
  std::visit(Overloaded{[&](const store::RowTransaction &Change) {
                          toWire(Change, *Message.mutable_transaction());
                        },
                        [&](const store::RangeQuery &Query) {
                          auto &Range = *Message.mutable_range();
                          Range.set_table(Query.Table);
                          Range.set_partition(Query.Partition);
                          Range.set_from(Query.From);
                          Range.set_to(Query.To);
                          Range.set_max_rows(Query.MaxRows);
                        },
                        [&](const ChangesQuery &Query) {
                          auto &Changes = *Message.mutable_changes();
                          Changes.set_table(Query.Table);
                          Changes.set_after(Query.After);
                          Changes.set_wait_ms(Query.Wait.count());
                        }},
             Call.Operation);
  return Message.SerializeAsString();
}

auto decodeRelayCall(const std::string &Bytes) -> Result<RelayCall> {
  wire::Call Message;
  if (!Message.ParseFromString(Bytes))
    return malformed("relayed call");
  RelayCall Call;
  Call.Timeout = Milliseconds(Message.timeout_ms());
  switch (Message.kind_case()) {
  case wire::Call::kTransaction:
    Call.Operation = fromWire(Message.transaction());
    return Call;
  case wire::Call::kRange:
    Call.Operation =
        store::RangeQuery{Message.range().table(), Message.range().partition(),
                          Message.range().from(), Message.range().to(),
                          Message.range().max_rows()};
    return Call;
  case wire::Call::kChanges:
    Call.Operation =
        ChangesQuery{Message.changes().table(), Message.changes().after(),
                     Milliseconds(Message.changes().wait_ms())};
    return Call;
  case wire::Call::KIND_NOT_SET:
    break;
  }
  return malformed("relayed call");
}

auto encodeRowNotice(const RowNotice &Notice) -> std::string {
  wire::Notice Message;
  Message.set_shard(Notice.Shard);
  toWire(Notice.Row, *Message.mutable_row());
  return Message.SerializeAsString();
}

auto decodeRowNotice(const std::string &Bytes) -> Result<RowNotice> {
  wire::Notice Message;
  if (!Message.ParseFromString(Bytes) || !Message.has_row())
    return malformed("row notice");
  return RowNotice{Message.shard(), fromWire(Message.row())};
}

auto encodeRelayReply(const RelayReply &Reply) -> std::string {
  wire::Reply Message;
  std::visit(Overloaded{[&](const store::TransactionCommitted &Case) {
                          Message.set_committed_version(Case.Version);
                        },
                        [&](const store::TransactionConflict &Case) {
                          toWire(Case.Current, *Message.mutable_conflicting());
                        },
                        [&](const store::RowPage &Case) {
                          auto &Page = *Message.mutable_page();
                          toWire(Case.Rows, Page);
                          Page.set_more(Case.More);
                          Page.set_version(Case.Version);
                        },
                        [&](const store::ChangeHistoryLost &) {
                          Message.mutable_history_lost();
                        },
                        [&](const store::StoreRefusal &Case) {
                          Message.mutable_refused()->set_reason(Case.Reason);
                        },
                        [&](const store::StoreNoAnswer &Case) {
                          Message.mutable_unanswered()->set_reason(Case.Reason);
                        },
                        [&](const StoreUnavailable &) {
                          Message.mutable_not_served();
                        }},
             Reply);
  return Message.SerializeAsString();
}

auto decodeRelayReply(const std::string &Bytes) -> Result<RelayReply> {
  wire::Reply Message;
  if (!Message.ParseFromString(Bytes))
    return malformed("relayed reply");
  switch (Message.kind_case()) {
  case wire::Reply::kCommittedVersion:
    return RelayReply(store::TransactionCommitted{Message.committed_version()});
  case wire::Reply::kConflicting:
    return RelayReply(
        store::TransactionConflict{rowsOf(Message.conflicting())});
  case wire::Reply::kPage:
    return RelayReply(store::RowPage{rowsOf(Message.page()),
                                     Message.page().more(),
                                     Message.page().version()});
  case wire::Reply::kHistoryLost:
    return RelayReply(store::ChangeHistoryLost{});
  case wire::Reply::kRefused:
    return RelayReply(store::StoreRefusal{Message.refused().reason()});
  case wire::Reply::kUnanswered:
    return RelayReply(store::StoreNoAnswer{Message.unanswered().reason()});
  case wire::Reply::kNotServed:
    return RelayReply(StoreUnavailable{});
  case wire::Reply::KIND_NOT_SET:
    break;
  }
  return malformed("relayed reply");
}

} // namespace jayramp::relay
