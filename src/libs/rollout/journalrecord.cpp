#include "journalrecord.h"

namespace ragwortreach {

batch_item withoutContents(batch_item item)
{
    item.path = {};
    item.headers = {};
    item.body = {};
    item.reward.reset();
    return item;
}

}
